"""This instance's part of the retry budget of all instances.

Load pattern: many answers that are lost at once, or clients that retry without a
pause. Requests earn retries within a sliding window. A fixed slack, divided among
the live instances, allows some retries while there are few requests.
"""

import collections

from ._ids import ServiceId

SAFETY_FACTOR = 0.7  # applied to the ratio and to the slack


class RetryWindow:
    """Counts requests and retries in a sliding window, by service.

    :param ratio: retries that each request earns.
    :param window_s: length of the window.
    :param slack: retries per window beyond those earned, for all instances together.
    """

    def __init__(self, ratio: float, window_s: float, slack: float) -> None:
        self.configure(ratio, window_s, slack)
        self._requests_by_service: dict[ServiceId, collections.deque[float]] = {}
        self._retries_by_service: dict[ServiceId, collections.deque[float]] = {}

    def configure(self, ratio: float, window_s: float, slack: float) -> None:
        """Change the parameters; requests and retries so far still count."""
        self._ratio = ratio * SAFETY_FACTOR
        self._window_s = window_s
        self._slack = slack * SAFETY_FACTOR

    def record_request(self, service: ServiceId, now: float) -> None:
        """Record a request from a client."""
        requests = self._requests_by_service.setdefault(service, collections.deque())
        requests.append(now)
        self._trim(requests, now)

    def take(self, service: ServiceId, now: float, instances: int) -> bool:
        """Take one retry; return false if this instance's part is used up.

        :param instances: number of live instances.
        """
        retries = self._retries_by_service.setdefault(service, collections.deque())
        self._trim(retries, now)
        requests = self._requests_by_service.get(service, ())
        allowed = self._ratio * len(requests) + self._slack / max(1, instances)
        if len(retries) + 1 > allowed:
            return False
        retries.append(now)
        return True

    def _trim(self, times: collections.deque[float], now: float) -> None:
        while times and times[0] <= now - self._window_s:
            times.popleft()
