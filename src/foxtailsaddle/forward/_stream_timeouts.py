"""Timeouts for silent streams, and the gaps between their events."""

import math

from ..core import StreamPlan
from ._request_context import RequestContext
from ._retrying import can_run_again

# Callers abandon a stream that is silent for the longest of these times.
CALLER_TIMEOUT_S = 2.0
CALLER_TIMEOUT_TARGETS = 4  # times the route's target for the first event
CALLER_TIMEOUT_GAPS = 8  # times the longest acceptable gap between events
STALL_TIMEOUT_SHARE = 0.55  # of the caller's timeout

# For prompts whose prefill is shared with helpers.
HELPERS_TIMEOUT_S = 1.5  # a part that is stuck at a helper is detected within it
# Of the predicted time; less would repeat prefills just when engines are busy.
HELPERS_TIMEOUT_FACTOR = 3.0


def first_event_timeout_s(context: RequestContext, plan: StreamPlan) -> float:
    """Return the time to wait for the first event before another endpoint is tried."""
    if not can_run_again(context):
        return math.inf
    predicted_s = plan.first_event_ms / 1000
    if plan.helpers:
        return HELPERS_TIMEOUT_S + HELPERS_TIMEOUT_FACTOR * predicted_s
    return max(_stall_timeout_s(context), 2 * predicted_s)


def event_gap_timeout_s(context: RequestContext, plan: StreamPlan) -> float:
    """Return the gap between events after which another endpoint is tried."""
    if not can_run_again(context):
        return math.inf
    return max(_stall_timeout_s(context), 2 * plan.first_event_ms / 1000)


def caller_timeout_s(context: RequestContext) -> float:
    """Return how long a stream may be silent before its caller abandons it."""
    return max(
        CALLER_TIMEOUT_S,
        CALLER_TIMEOUT_TARGETS * context.route.first_event_target_s,
        CALLER_TIMEOUT_GAPS * context.route.gap_s,
    )


def _stall_timeout_s(context: RequestContext) -> float:
    return STALL_TIMEOUT_SHARE * caller_timeout_s(context)


class EventGaps:
    """Gaps between the events of one stream.

    :ivar shortest_gap_s: infinite before the second event.
    """

    def __init__(self, now: float) -> None:
        self.event_count = 0
        self.shortest_gap_s = math.inf
        self._last_event_at = now

    def record(self, now: float) -> None:
        """Record an event that has just arrived."""
        if self.event_count:
            self.shortest_gap_s = min(self.shortest_gap_s, now - self._last_event_at)
        self.event_count += 1
        self._last_event_at = now
