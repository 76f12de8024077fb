"""Records what the events of a stream show of its engine."""

import trio

from ...core import AttemptOutcome, EngineTime, StreamPlan
from .._fleet import FleetState
from .._request_context import RequestContext
from ..attempts import Attempt, PartChecks
from ._timeouts import EventGaps

SLOWDOWN_SAMPLE_EVENTS = 3  # after which an engine's slowdown is estimated
MIN_RECORDED_SLOWDOWN = 1.6


class StreamProgress:
    """Records first events, silences and slow engines for this instance's streams."""

    def __init__(self, fleet: FleetState, part_checks: PartChecks) -> None:
        self._fleet = fleet
        self._part_checks = part_checks

    def record_silence(self, plan: StreamPlan) -> None:
        """Record a silence at once, so that the engine's other streams see it."""
        self._fleet.record_outcome(
            plan.endpoint, AttemptOutcome.SILENT, trio.current_time()
        )

    def record_resumption(self, plan: StreamPlan) -> None:
        """Record that an engine that had fallen silent has sent an event."""
        now = trio.current_time()
        if self._fleet.health.has_fallen_silent(plan.endpoint, now):
            self._fleet.record_outcome(plan.endpoint, AttemptOutcome.RESUMED, now)

    def record_event(
        self,
        context: RequestContext,
        attempt: Attempt,
        plan: StreamPlan,
        gaps: EventGaps,
    ) -> None:
        """Record an event that has arrived."""
        now = trio.current_time()
        if not gaps.event_count:
            self._fleet.begin(attempt.job.id, now)
            context.log_fields.setdefault("endpoint", plan.endpoint)
            context.log_fields.setdefault("parts", 1 + len(plan.helpers))
            context.log_fields.setdefault("tokens", attempt.job.prompt_tokens)
            context.log_fields.setdefault(
                "held", sum(attempt.job.reserved_by_endpoint.values())
            )
            context.log_fields.setdefault("predicted_ms", round(plan.first_event_ms))
            context.log_fields.setdefault(
                "first_ms", round((now - context.arrived_at) * 1000)
            )
        gaps.record(now)
        self._part_checks.record_progress(context, gaps.first_event_at, now)
        if gaps.event_count == SLOWDOWN_SAMPLE_EVENTS:
            self._update_slowdown(context, attempt, gaps, now)

    def _update_slowdown(
        self, context: RequestContext, attempt: Attempt, gaps: EventGaps, now: float
    ) -> None:
        job = attempt.job
        load = self._fleet.engine_loads.load(job.endpoint, now)
        time = EngineTime(context.service.engine)
        published_ms = time.pass_ms(max(1, load.decoding_requests), load.context_tokens)
        slowdown = gaps.shortest_gap_s * 1000 / published_ms
        known_slowdown = self._fleet.health.slowdown(job.endpoint, now)
        if slowdown > MIN_RECORDED_SLOWDOWN or known_slowdown > MIN_RECORDED_SLOWDOWN:
            self._fleet.record_slowdown(job.endpoint, slowdown, now)
