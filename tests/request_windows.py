"""Counts requests in sliding windows, for limits that endpoints name."""

import bisect
import typing as t

WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5  # of what a limit allows in a window
ALLOWED_SLACK = 5  # requests in a window beyond that


def most_in_window(times: t.Sequence[float]) -> int:
    """Return the largest number of requests in any window.

    :param times: when they arrived, in order.
    """
    counts = (
        bisect.bisect_left(times, start + WINDOW_S) - index
        for index, start in enumerate(times)
    )
    return max(counts, default=0)


def allowed_requests(per_s: float) -> float:
    """Return how many requests a limit allows in any window."""
    return ALLOWED_FACTOR * WINDOW_S * per_s + ALLOWED_SLACK
