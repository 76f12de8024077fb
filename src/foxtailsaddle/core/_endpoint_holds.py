"""Endpoints that ask this instance not to send them anything.

Load pattern: an endpoint that shuts down says so in its responses before the platform's
list does, and the list may go on to show it as ready, for instance after the store was
restored from a backup. An overloaded endpoint refuses requests and says for how long it
wants none; requests that come earlier only add to its load.
"""

import dataclasses
import math
import typing as t

from ._endpoint_list import ListedEndpoint
from ._ids import EndpointId

MAX_HOLDS = 4000  # bounds the memory; the oldest are forgotten first
MAX_PAUSE_S = 300.0  # a longer one is likely a mistake
NO_PAUSE = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointNotice:
    """What an endpoint says of itself beside its response.

    :param is_leaving: it shuts down and wants nothing new.
    :param pause_s: time for which it wants no requests from this instance, in seconds.
    :param limit_per_s: requests a second that it takes from all instances together;
        ``None`` if it names no limit.
    :param has_unreadable_limit: it names a limit that can't be read.
    :param cold_s: how much longer it is cold, in seconds.
    """

    is_leaving: bool = False
    pause_s: float = 0.0
    limit_per_s: float | None = None
    has_unreadable_limit: bool = False
    cold_s: float = 0.0


NO_NOTICE = EndpointNotice()


@dataclasses.dataclass(slots=True)
class _Hold:
    """What one start of an endpoint asked for.

    :ivar born_ms: the start, wall-clock time in milliseconds.
    :ivar pause_ends_at: when it may get requests again, unless it leaves.
    """

    born_ms: int
    is_leaving: bool = False
    pause_ends_at: float = NO_PAUSE

    def is_active(self, now: float) -> bool:
        """Return whether the endpoint gets nothing at present."""
        return self.is_leaving or now < self.pause_ends_at


class EndpointHolds:
    """Endpoints that get nothing from this instance.

    A hold concerns one start of an endpoint. It ends when the entry of the endpoint
    names a later start or another endpoint has the address, and a pause at its time.
    """

    def __init__(self) -> None:
        self._hold_by_endpoint: dict[EndpointId, _Hold] = {}

    def record_leaving(self, endpoint: EndpointId, born_ms: int) -> bool:
        """Record that an endpoint leaves; return whether that is new.

        :param born_ms: the start of the endpoint that says so.
        """
        hold = self._hold(endpoint, born_ms)
        if hold is None or hold.is_leaving:
            return False
        hold.is_leaving = True
        return True

    def record_pause(
        self, endpoint: EndpointId, born_ms: int, pause_s: float, now: float
    ) -> bool:
        """Record that an endpoint wants no requests; return whether a pause begins.

        :param born_ms: the start of the endpoint that says so.
        :param pause_s: for how long, in seconds; a pause under way gets no shorter.
        """
        hold = self._hold(endpoint, born_ms)
        if hold is None:
            return False
        begins = hold.pause_ends_at <= now
        pause_ends_at = now + min(pause_s, MAX_PAUSE_S)
        hold.pause_ends_at = max(hold.pause_ends_at, pause_ends_at)
        return begins

    def is_leaving(self, entry: ListedEndpoint) -> bool:
        """Return whether this start of an endpoint has said that it leaves."""
        hold = self._hold_by_endpoint.get(entry.id)
        return hold is not None and entry.born_ms == hold.born_ms and hold.is_leaving

    def is_held(self, entry: ListedEndpoint, now: float) -> bool:
        """Return whether an endpoint gets nothing at present."""
        hold = self._hold_by_endpoint.get(entry.id)
        # An entry of an earlier start is outdated.
        return (
            hold is not None and entry.born_ms <= hold.born_ms and hold.is_active(now)
        )

    def available(
        self, entries: t.Sequence[ListedEndpoint], now: float
    ) -> t.Sequence[ListedEndpoint]:
        """Return the entries of the endpoints that are not held."""
        if not self._hold_by_endpoint:
            return entries
        return [entry for entry in entries if not self.is_held(entry, now)]

    def pause_left_s(self, entries: t.Sequence[ListedEndpoint], now: float) -> float:
        """Return the time until the first pause ends, in seconds.

        Returns 0 if one of the endpoints isn't held, or if all of them leave.
        """
        if self.available(entries, now):
            return 0.0
        holds = [self._hold_by_endpoint[entry.id] for entry in entries]
        pauses = [hold.pause_ends_at - now for hold in holds if not hold.is_leaving]
        return min(pauses, default=0.0)

    def forget_ended_pauses(self, now: float) -> None:
        """Forget the endpoints whose pause is over."""
        for endpoint, hold in list(self._hold_by_endpoint.items()):
            if not hold.is_active(now):
                del self._hold_by_endpoint[endpoint]

    def forget_unknown_start(self, endpoint: EndpointId) -> None:
        """Forget an endpoint that is no longer listed, if its start is not known.

        Otherwise a later start could not be told from it.
        """
        hold = self._hold_by_endpoint.get(endpoint)
        if hold is not None and not hold.born_ms:
            del self._hold_by_endpoint[endpoint]

    def _hold(self, endpoint: EndpointId, born_ms: int) -> _Hold | None:
        """Return the hold of one start; ``None`` if a later one is known."""
        known = self._hold_by_endpoint.get(endpoint)
        if known is not None and known.born_ms >= born_ms:
            return known if known.born_ms == born_ms else None
        self._hold_by_endpoint.pop(endpoint, None)
        hold = _Hold(born_ms)
        self._hold_by_endpoint[endpoint] = hold
        if len(self._hold_by_endpoint) > MAX_HOLDS:
            del self._hold_by_endpoint[next(iter(self._hold_by_endpoint))]
        return hold
