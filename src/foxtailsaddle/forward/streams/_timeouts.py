"""Decides when a stream from a silent engine is resumed at another engine."""

import math
import typing as t

import trio

from ...core import EventBuffer, StreamPlan
from ...errors import ExchangeBrokenError
from .._fleet import FleetState
from .._request_context import RequestContext
from .._retrying import can_run_again, claim_retry
from ..attempts import Attempt

# Callers abandon a stream that is silent for the longest of these times.
CALLER_TIMEOUT_S = 2.0
CALLER_TIMEOUT_TARGETS = 4  # times the route's target for the first event
CALLER_TIMEOUT_GAPS = 8  # times the longest acceptable gap between events
STALL_TIMEOUT_SHARE = 0.55  # of the caller's timeout
NORMAL_SILENCE_S = 2.0  # a healthy engine may be silent for so long and go on

# For prompts whose prefill is shared with helpers.
HELPERS_TIMEOUT_S = 1.5  # a part that is stuck at a helper is detected within it
# Of the predicted time; less would repeat prefills just when engines are busy.
HELPERS_TIMEOUT_FACTOR = 3.0

MAX_BUSY_SHARE = 0.5  # of the timeout; a longer silence after a pause is a failure
PAUSE_MARGIN_S = 0.3  # after the predicted end of an engine's pause
RESUME_S = 0.5  # to get an event from another engine before the caller gives up
CLAIM_INTERVAL_S = 0.25  # between two attempts to get a retry out of the budget
# The streams of one engine move one after another, as long as their callers wait: the
# engine may go on, and the others see the load of those that moved.
MOVE_INTERVAL_S = 0.05
LAST_MOVE_S = 0.25  # before the caller gives up

Received = t.TypeVar("Received")


class EngineSilentError(ExchangeBrokenError):
    """An engine was silent for too long, and another one is to continue.

    :param is_busy: the silence is explained by prompts that it prefills.
    """

    def __init__(self, message: str, *, is_busy: bool) -> None:
        super().__init__(message)
        self.is_busy = is_busy


class SilenceTimeout:
    """Waits for an engine, until it is silent too long and may be replaced.

    An engine that prefills long prompts sends nothing meanwhile. While that explains
    its silence, it is replaced only if its caller would otherwise give up. While no
    retry is granted or no other engine can begin in time, it is not replaced at all.

    :param find_plan: returns the plan for another engine as of now.
    """

    def __init__(
        self,
        fleet: FleetState,
        context: RequestContext,
        plan: StreamPlan,
        find_plan: t.Callable[[], StreamPlan | None],
    ) -> None:
        self._fleet = fleet
        self._context = context
        self._plan = plan
        self._find_plan = find_plan

    async def first_response(
        self, receive: t.Callable[[], t.Awaitable[Received]]
    ) -> Received:
        """Wait for the first bytes of a response.

        :raises EngineSilentError: another engine is to be tried.
        """
        return await self._wait(
            receive, first_event_timeout_s(self._context, self._plan)
        )

    async def next_data(
        self, receive: t.Callable[[], t.Awaitable[Received]]
    ) -> Received:
        """Wait for further bytes of a response.

        :raises EngineSilentError: another engine is to be tried.
        """
        return await self._wait(receive, event_gap_timeout_s(self._context, self._plan))

    async def _wait(
        self, receive: t.Callable[[], t.Awaitable[Received]], timeout_s: float
    ) -> Received:
        began_at = trio.current_time()
        ends_at = began_at + timeout_s
        while True:
            with trio.move_on_at(ends_at):
                return await receive()
            now = trio.current_time()
            ends_at = max(ends_at, self._busy_until(began_at))
            if now < ends_at:
                continue
            caller_leaves_at = began_at + caller_timeout_s(self._context)
            ends_at = min(self._next_move_at(), caller_leaves_at - LAST_MOVE_S)
            if now < ends_at:
                continue
            if self._may_replace(now, caller_leaves_at):
                raise EngineSilentError(
                    f'"{self._plan.endpoint}" was silent for {now - began_at:.1f} s',
                    is_busy=now - self._pause_ends_at() < timeout_s * MAX_BUSY_SHARE,
                )
            ends_at = now + CLAIM_INTERVAL_S

    def _next_move_at(self) -> float:
        health = self._fleet.health
        return health.last_silence_at(self._plan.endpoint) + MOVE_INTERVAL_S

    def _pause_ends_at(self) -> float:
        return self._fleet.engine_loads.prefill_until(self._plan.endpoint)

    def _busy_until(self, silent_since: float) -> float:
        """Return until when prefills explain the silence and the caller waits."""
        caller_leaves_at = silent_since + caller_timeout_s(self._context)
        return min(self._pause_ends_at() + PAUSE_MARGIN_S, caller_leaves_at - RESUME_S)

    def _may_replace(self, now: float, caller_leaves_at: float) -> bool:
        return self._has_replacement(now, caller_leaves_at) and claim_retry(
            self._fleet, self._context, now
        )

    def _has_replacement(self, now: float, caller_leaves_at: float) -> bool:
        """Return whether another engine can begin before the caller gives up.

        After that, only whether there is one.
        """
        plan = self._find_plan()
        if plan is None or plan.endpoint == self._plan.endpoint:
            return False
        begins_at = now + plan.first_event_ms / 1000
        return now >= caller_leaves_at or begins_at < caller_leaves_at


def first_event_timeout_s(context: RequestContext, plan: StreamPlan) -> float:
    """Return the time to wait for the first event before another endpoint is tried."""
    if not can_run_again(context):
        return math.inf
    predicted_s = plan.first_event_ms / 1000
    if plan.helpers:
        return HELPERS_TIMEOUT_S + HELPERS_TIMEOUT_FACTOR * predicted_s
    return max(_stall_timeout_s(context, plan), 2 * predicted_s)


def event_gap_timeout_s(context: RequestContext, plan: StreamPlan) -> float:
    """Return the gap between events after which another endpoint is tried."""
    if not can_run_again(context):
        return math.inf
    return max(_stall_timeout_s(context, plan), 2 * plan.first_event_ms / 1000)


def caller_timeout_s(context: RequestContext) -> float:
    """Return how long a stream may be silent before its caller abandons it."""
    return max(
        CALLER_TIMEOUT_S,
        CALLER_TIMEOUT_TARGETS * context.route.first_event_target_s,
        CALLER_TIMEOUT_GAPS * context.route.gap_s,
    )


def _stall_timeout_s(context: RequestContext, plan: StreamPlan) -> float:
    """Return the silence after which an engine is taken for lost.

    That is longer than a healthy engine is silent, unless its caller would give up
    before another engine could go on.
    """
    timeout_s = caller_timeout_s(context)
    resume_s = max(RESUME_S, plan.first_event_ms / 1000)
    return max(
        STALL_TIMEOUT_SHARE * timeout_s, min(NORMAL_SILENCE_S, timeout_s - resume_s)
    )


class EventGaps:
    """Gaps between the events of one stream.

    :ivar first_event_at: infinite before the first event.
    :ivar shortest_gap_s: infinite before the second event.
    """

    def __init__(self, now: float) -> None:
        self.event_count = 0
        self.first_event_at = math.inf
        self.shortest_gap_s = math.inf
        self._last_event_at = now

    def record(self, now: float) -> None:
        """Record an event that has just arrived."""
        self.first_event_at = min(self.first_event_at, now)
        if self.event_count:
            self.shortest_gap_s = min(self.shortest_gap_s, now - self._last_event_at)
        self.event_count += 1
        self._last_event_at = now


async def receive_events(attempt: Attempt, buffer: EventBuffer) -> bytes | None:
    """Wait for the next complete events; ``None`` at the end of the body.

    An engine counts as silent until then, whatever bytes it sends.
    """
    while (data := await attempt.receive_data()) is not None:
        complete_events = buffer.feed(data)
        if complete_events:
            return complete_events
    return None
