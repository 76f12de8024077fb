"""Endpoints that have just started, or have lost what made them fast.

Load pattern: endpoints come back many at once, after a failure or the evacuation of a
data centre. They are idle, so every instance would choose them in the same moment, and
a cold endpoint that gets many requests a second crashes.
"""

import dataclasses
import typing as t

from ._ids import EndpointId, ServiceId

MAX_COLD_S = 300.0  # a longer time is likely a mistake
MAX_COLD_STARTS = 4000  # bounds the memory; the oldest are forgotten first


@dataclasses.dataclass(frozen=True, slots=True)
class ColdStartSpec:
    """What a service's endpoints tolerate while they are cold.

    :param duration_s: time for which an endpoint is cold after its start, in seconds.
    :param per_s: requests per second from all instances together.
    """

    duration_s: float
    per_s: float


@dataclasses.dataclass(slots=True)
class _ColdStart:
    """One start of an endpoint, which is cold until a time.

    :ivar born_ms: the start, wall-clock time in milliseconds.
    """

    born_ms: int
    until: float


class ColdStarts:
    """The endpoints that are cold, and the services that bound requests to them.

    :ivar spec_by_service: services without an entry tolerate any load.
    :ivar is_isolated: this instance hears neither the store nor another instance. Any
        endpoint may then be cold without its knowledge.
    """

    def __init__(self) -> None:
        self._cold_start_by_endpoint: dict[EndpointId, _ColdStart] = {}
        self.spec_by_service: t.Mapping[ServiceId, ColdStartSpec] = {}
        self.is_isolated = False

    def record(
        self, endpoint: EndpointId, born_ms: int, for_s: float, now: float
    ) -> bool:
        """Record that an endpoint is cold; return whether that is new.

        What is known of a later start, or a longer time, stays.

        :param born_ms: the start that is cold.
        :param for_s: how much longer, in seconds.
        """
        if for_s <= 0:
            return False
        until = now + min(for_s, MAX_COLD_S)
        known = self._cold_start_by_endpoint.get(endpoint)
        if known is not None and known.born_ms > born_ms:
            return False
        if known is not None and known.born_ms == born_ms:
            is_new = known.until <= now
            known.until = max(known.until, until)
            return is_new
        self._cold_start_by_endpoint.pop(endpoint, None)
        self._cold_start_by_endpoint[endpoint] = _ColdStart(born_ms, until)
        if len(self._cold_start_by_endpoint) > MAX_COLD_STARTS:
            self.forget(next(iter(self._cold_start_by_endpoint)))
        return True

    def left_s(self, endpoint: EndpointId, now: float) -> float:
        """Return how much longer an endpoint is cold as far as is known, in seconds."""
        known = self._cold_start_by_endpoint.get(endpoint)
        return max(0.0, known.until - now) if known is not None else 0.0

    def bound_per_s(
        self, endpoint: EndpointId, service: ServiceId, now: float
    ) -> float | None:
        """Return the requests per second that an endpoint tolerates at present.

        :returns: ``None`` if it is warm or tolerates any load.
        """
        spec = self.spec_by_service.get(service)
        if spec is None or not (self.is_isolated or self.left_s(endpoint, now)):
            return None
        return spec.per_s

    def count(self, now: float) -> int:
        """Return the number of endpoints that are cold at present."""
        return sum(
            cold_start.until > now
            for cold_start in self._cold_start_by_endpoint.values()
        )

    def forget(self, endpoint: EndpointId) -> None:
        """Forget an endpoint that is no longer listed."""
        self._cold_start_by_endpoint.pop(endpoint, None)
