"""The limits that hold for requests to endpoints at present.

Load pattern: an endpoint that names a limit, one that is cold, or both. Whoever looks
for an endpoint, grants a request or waits for one goes by the stricter of the two.
"""

import typing as t

from ._cold_starts import ColdStarts
from ._endpoint_limits import EndpointLimits, NamedLimit
from ._endpoint_list import ListedEndpoint
from ._ids import EndpointId

ASSUMED_COLD_S = 1.0  # how much longer, where nothing can be heard of an endpoint


class RequestLimits:
    """The limits of endpoints, and when the next request to each may be granted.

    :param named: limits that endpoints name.
    :param cold_starts: endpoints that are cold.
    """

    def __init__(self, named: EndpointLimits, cold_starts: ColdStarts) -> None:
        self._named = named
        self._cold_starts = cold_starts
        self._next_grant_at_by_endpoint: dict[EndpointId, float] = {}

    def limit_of(self, entry: ListedEndpoint, now: float) -> NamedLimit | None:
        """Return the limit of an endpoint, ``None`` if it has none at present."""
        named = self._named.limit_of(entry)
        per_s = self._cold_starts.bound_per_s(entry.id, entry.service, now)
        if per_s is None or (named is not None and named.per_s <= per_s):
            return named
        cold_s = self._cold_starts.left_s(entry.id, now) or ASSUMED_COLD_S
        return NamedLimit(entry.id, entry.born_ms, per_s, now, cold_s)

    def record_next_grant(self, endpoint: EndpointId, at: float) -> None:
        """Record when the next request to an endpoint may be granted."""
        self._next_grant_at_by_endpoint[endpoint] = at

    def wait_s(self, entry: ListedEndpoint, now: float) -> float:
        """Return the time until a request to an endpoint may be granted, if known."""
        next_grant_at = self._next_grant_at_by_endpoint.get(entry.id)
        if next_grant_at is None or self.limit_of(entry, now) is None:
            return 0.0
        return max(0.0, next_grant_at - now)

    def within(
        self, entries: t.Sequence[ListedEndpoint], max_wait_s: float, now: float
    ) -> t.Sequence[ListedEndpoint]:
        """Return the entries whose limit may allow a request within a time."""
        if not self._next_grant_at_by_endpoint:
            return entries
        return [entry for entry in entries if self.wait_s(entry, now) <= max_wait_s]

    def forget(self, endpoint: EndpointId) -> None:
        """Forget an endpoint that is no longer listed."""
        self._next_grant_at_by_endpoint.pop(endpoint, None)
