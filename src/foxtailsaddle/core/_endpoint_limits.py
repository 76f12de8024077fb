"""Limits that endpoints name for the requests of all instances together.

Load pattern: an endpoint that can serve only a part of its usual load names in its
responses how many requests a second it takes, as long as that holds.
"""

import dataclasses
import math

from ._endpoint_list import ListedEndpoint
from ._ids import EndpointId

NO_LIMIT = math.inf  # requests per second
MAX_LIMITS = 4000  # bounds the memory; the oldest are forgotten first


@dataclasses.dataclass(frozen=True, slots=True)
class NamedLimit:
    """What one start of an endpoint last said of its limit.

    :param born_ms: the start, wall-clock time in milliseconds.
    :param per_s: requests per second from all instances; infinite once it has ended.
    :param heard_at: when an instance received the response that says so.
    :param cold_s: how much longer the endpoint is cold, which is the reason of the
        limit; 0 for a limit that it names itself.
    """

    endpoint: EndpointId
    born_ms: int
    per_s: float
    heard_at: float
    cold_s: float = 0.0


class EndpointLimits:
    """The limits that endpoints have named.

    A limit concerns one start of an endpoint. What was heard last counts, so one that
    has ended is remembered, until the endpoint is forgotten.
    """

    def __init__(self) -> None:
        self._limit_by_endpoint: dict[EndpointId, NamedLimit] = {}

    def record(self, limit: NamedLimit) -> bool:
        """Record what an endpoint says; return whether its limit has changed.

        An endpoint without a limit is not remembered, unless it had one.
        """
        known = self._limit_by_endpoint.get(limit.endpoint)
        if known is not None and (known.born_ms, known.heard_at) > (
            limit.born_ms,
            limit.heard_at,
        ):
            return False
        known_per_s = NO_LIMIT
        if known is not None and known.born_ms == limit.born_ms:
            known_per_s = known.per_s
        if known is None and limit.per_s == NO_LIMIT:
            return False
        self._limit_by_endpoint.pop(limit.endpoint, None)
        self._limit_by_endpoint[limit.endpoint] = limit
        if len(self._limit_by_endpoint) > MAX_LIMITS:
            self.forget(next(iter(self._limit_by_endpoint)))
        return known_per_s != limit.per_s

    def limit_of(self, entry: ListedEndpoint) -> NamedLimit | None:
        """Return the limit of an endpoint, ``None`` if it has none at present."""
        known = self._limit_by_endpoint.get(entry.id)
        # An entry of an earlier start is outdated.
        if known is None or known.per_s == NO_LIMIT or entry.born_ms > known.born_ms:
            return None
        return known

    def latest(self, endpoint: EndpointId) -> NamedLimit | None:
        """Return what an endpoint said last, also if its limit has ended."""
        return self._limit_by_endpoint.get(endpoint)

    def heard_at(self, entry: ListedEndpoint) -> float:
        """Return when an endpoint last spoke of its limit; never is minus infinity."""
        known = self._limit_by_endpoint.get(entry.id)
        return known.heard_at if known is not None else -math.inf

    def known(self) -> list[NamedLimit]:
        """Return what endpoints said that have named a limit."""
        return list(self._limit_by_endpoint.values())

    def forget(self, endpoint: EndpointId) -> None:
        """Forget an endpoint that is no longer listed."""
        self._limit_by_endpoint.pop(endpoint, None)
