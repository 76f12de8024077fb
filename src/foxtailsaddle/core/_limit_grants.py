"""Grants requests at endpoints whose limit holds for all instances together.

Load pattern: many instances, of which only some have work, share the few requests a
second that an endpoint takes. One instance grants them all, spaced evenly, so that no
share lies idle and a fleet of any size keeps to the limit.
"""

import dataclasses

from ._endpoint_limits import NamedLimit
from ._ids import EndpointId

MIN_RATE_PER_S = 0.1  # finds out whether a limit of next to nothing has ended
BURST_S = 0.5  # of unused requests that may be made up for at once
MAX_FIRST_WAIT_S = 1.0  # until the first grant of a schedule
MAX_SCHEDULES = 4000  # bounds the memory; the oldest are forgotten first


@dataclasses.dataclass(frozen=True, slots=True)
class GrantReply:
    """Whether a request may be sent.

    :param wait_s: time until it may be sent; if it isn't granted, until one could be.
    """

    is_granted: bool
    wait_s: float


@dataclasses.dataclass(slots=True)
class _Schedule:
    """The requests granted at one start of an endpoint.

    :ivar next_at: when the next request is due if none is made up for.
    """

    born_ms: int
    next_at: float


class GrantSchedules:
    """Decides when requests may be sent to the endpoints that this instance grants.

    Nothing is known of what others granted before, so a schedule begins as if a request
    had just been granted.
    """

    def __init__(self) -> None:
        self._schedule_by_endpoint: dict[EndpointId, _Schedule] = {}

    def request(
        self,
        limit: NamedLimit,
        max_wait_s: float,
        now: float,
        burst_s: float = BURST_S,
        first_wait_s: float = 0.0,
    ) -> GrantReply:
        """Grant a request at the next free time, if that is soon enough.

        :param max_wait_s: longest time that the request may wait.
        :param burst_s: seconds of unused requests that may be made up for at once.
        :param first_wait_s: shortest time until the first grant of a new schedule.
        """
        interval_s = grant_interval_s(limit.per_s)
        made_up_s = max(0.0, burst_s - interval_s)
        first_in_s = max(first_wait_s, min(interval_s, MAX_FIRST_WAIT_S))
        schedule = self._schedule(limit, now + first_in_s + made_up_s)
        wait_s = max(0.0, schedule.next_at - made_up_s - now)
        if wait_s > max_wait_s:
            return GrantReply(False, wait_s)
        schedule.next_at = max(schedule.next_at, now) + interval_s
        return GrantReply(True, wait_s)

    def _schedule(self, limit: NamedLimit, first_at: float) -> _Schedule:
        schedule = self._schedule_by_endpoint.get(limit.endpoint)
        if schedule is None or schedule.born_ms != limit.born_ms:
            schedule = _Schedule(limit.born_ms, first_at)
            self._schedule_by_endpoint[limit.endpoint] = schedule
            if len(self._schedule_by_endpoint) > MAX_SCHEDULES:
                del self._schedule_by_endpoint[next(iter(self._schedule_by_endpoint))]
        return schedule


def grant_interval_s(per_s: float) -> float:
    """Return the time between two requests that a limit allows, in seconds."""
    return 1 / max(per_s, MIN_RATE_PER_S)
