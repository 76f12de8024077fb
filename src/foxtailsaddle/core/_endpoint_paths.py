"""Which endpoints this instance reaches itself, and which only through another one.

Load pattern: an instance loses its connections to some or all endpoints, while other
instances reach them. What it sees itself is then no evidence on the endpoints.
"""

import math

CUT_OFF_ENDPOINTS = 2  # reached only through others, with none reached directly since
FRESH_S = 1.0  # for which a direct connection shows that this instance isn't cut off
MAX_CUT_PATHS = 4000  # bounds the memory; the oldest are forgotten first


class EndpointPaths:
    """The state of the direct paths to endpoints, by address (``host:port``)."""

    def __init__(self) -> None:
        self._cut_at_by_address: dict[str, float] = {}
        self._last_cut_at_by_address: dict[str, float] = {}
        self._failed_addresses: set[str] = set()
        self._reached_at = -math.inf

    def record_reached(self, address: str, now: float) -> bool:
        """Record a direct connection; return whether the path had been cut."""
        self._reached_at = now
        self._failed_addresses.clear()
        return self._cut_at_by_address.pop(address, None) is not None

    def record_failed(self, address: str) -> None:
        """Record that a direct connection could not be established."""
        if len(self._failed_addresses) < MAX_CUT_PATHS:
            self._failed_addresses.add(address)

    def record_cut(self, address: str, now: float) -> bool:
        """Record that a path is cut; return whether that is new."""
        is_new = address not in self._cut_at_by_address
        self._cut_at_by_address.setdefault(address, now)
        self._last_cut_at_by_address.pop(address, None)
        self._last_cut_at_by_address[address] = now
        if len(self._last_cut_at_by_address) > MAX_CUT_PATHS:
            oldest = next(iter(self._last_cut_at_by_address))
            del self._last_cut_at_by_address[oldest]
            self._cut_at_by_address.pop(oldest, None)
        return is_new

    def is_cut(self, address: str) -> bool:
        """Return whether a direct connection to an endpoint is not worth a try."""
        return address in self._cut_at_by_address or self.is_cut_off

    def was_cut(self, address: str, since: float) -> bool:
        """Return whether a path is cut, or was found to be at some time since."""
        last_cut_at = self._last_cut_at_by_address.get(address, -math.inf)
        return self.is_cut(address) or last_cut_at >= since

    @property
    def is_cut_off(self) -> bool:
        """Whether this instance seems to reach no endpoint at all."""
        later = [at for at in self._cut_at_by_address.values() if at > self._reached_at]
        return len(later) >= CUT_OFF_ENDPOINTS

    @property
    def is_doubtful(self) -> bool:
        """Whether this instance may reach no endpoint, or all of them have ended."""
        return self.is_cut_off or len(self._failed_addresses) >= CUT_OFF_ENDPOINTS

    @property
    def cut_since(self) -> float:
        """When the first of the cut paths was found to be cut; infinite if none."""
        return min(self._cut_at_by_address.values(), default=math.inf)

    def is_own_view_sound(self, address: str, now: float) -> bool:
        """Return whether a silence or a failed connection is the endpoint's own."""
        return not self.is_cut(address) and now - self._reached_at <= FRESH_S

    def was_any_reached(self, since: float) -> bool:
        """Return whether an endpoint was reached directly since some time."""
        return self._reached_at >= since

    def cut_addresses(self) -> list[str]:
        """Return the endpoints whose direct path is cut."""
        return list(self._cut_at_by_address)

    def forget(self, address: str) -> None:
        """Forget an endpoint that is no longer listed."""
        self._cut_at_by_address.pop(address, None)
        self._last_cut_at_by_address.pop(address, None)
