"""The retry budget that all instances share, as this instance's part of it.

Load pattern: many answers lost at once, or clients that repeat without
waiting. Requests earn retries within a sliding window; a fixed slack, divided
among the live instances, covers quiet times.
"""

import collections

from ._ids import ServiceId

SAFETY = 0.7


class RetryWindow:
    """Requests and retries of the last seconds, by service.

    :param ratio: retries that each request earns.
    :param window_s: length of the window.
    :param slack: retries in a window beyond those earned, for all instances.
    """

    def __init__(self, ratio: float, window_s: float, slack: float) -> None:
        self._ratio = ratio * SAFETY
        self._window_s = window_s
        self._slack = slack * SAFETY
        self._requests_by_service: dict[ServiceId, collections.deque[float]] = {}
        self._retries_by_service: dict[ServiceId, collections.deque[float]] = {}

    def note_request(self, service: ServiceId, now: float) -> None:
        """Count a request that a client sent."""
        requests = self._requests_by_service.setdefault(service, collections.deque())
        requests.append(now)
        self._trim(requests, now)

    def take(self, service: ServiceId, now: float, instances: int) -> bool:
        """Spend one retry; false when this instance's part is used up."""
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
