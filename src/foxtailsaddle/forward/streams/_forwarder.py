"""Forwards streams from model engines, and resumes broken ones at other engines."""

import functools

import h11
import trio

from ...core import (
    AttemptOutcome,
    EndpointId,
    EventBuffer,
    Job,
    StreamPlan,
    account_hash,
    answer_weight,
)
from ...errors import (
    ExchangeBrokenError,
    NoEndpointError,
    NothingSentError,
    OverloadedError,
)
from ...ports import Dispatch, HeaderCodec, PromptSize
from .._data_centre_traffic import DataCentreTraffic
from .._fleet import FleetState
from .._request_context import RequestContext
from .._retrying import can_run_again, final_error, max_limit_wait_s, may_attempt_again
from ..attempts import Attempt, CrashDetector, JobIdGenerator, PartChecks, RefusedError
from ..limits import LimitGate
from ._logs import log_failure, log_placed
from ._placer import StreamPlacer
from ._progress import StreamProgress
from ._reservations import MemoryFullError, Reservations
from ._responses import check_continuation, without_length
from ._slot_queues import SlotQueues
from ._timeouts import EngineSilentError, EventGaps, SilenceTimeout, receive_events

MAX_ATTEMPTS = 6
MAX_LIMIT_REFUSALS = 8  # until a request is refused because of limits
RETRY_AFTER_S = 0.5
SERVER_ERROR = 500
OK = 200

# Engines run requests with lower priority numbers first. For each of these prefill
# times that a prompt exceeds, its number is increased by one.
PRIORITY_BOUNDS_MS = (60.0, 250.0, 1000.0)
BASE_PRIORITY = 2
LATE_PRIORITY_STEPS = 4  # late requests run after all that can still be on time


class StreamForwarder:
    """Forwards requests whose responses are event streams."""

    def __init__(
        self,
        fleet: FleetState,
        header_codec: HeaderCodec,
        placer: StreamPlacer,
        slot_queues: SlotQueues,
        job_ids: JobIdGenerator,
        reservations: Reservations,
        crash_detector: CrashDetector,
        part_checks: PartChecks,
        limit_gate: LimitGate,
        traffic: DataCentreTraffic,
    ) -> None:
        self._fleet = fleet
        self._header_codec = header_codec
        self._placer = placer
        self._slot_queues = slot_queues
        self._job_ids = job_ids
        self._reservations = reservations
        self._crash_detector = crash_detector
        self._part_checks = part_checks
        self._progress = StreamProgress(fleet, part_checks)
        self._limit_gate = limit_gate
        self._traffic = traffic

    async def forward(self, context: RequestContext) -> None:
        """Forward a request and stream the response to the caller.

        :raises FoxtailsaddleError: the stream could not be started or completed.
        """
        buffer = EventBuffer()
        error: Exception = NoEndpointError(
            f'service "{context.service.id}" has no engine that takes requests'
        )
        while context.attempts < MAX_ATTEMPTS:
            if not self._may_attempt(context, buffer):
                break
            plan = await self._next_plan(context, buffer)
            if plan is None:
                break
            await self._part_checks.check_attempt(context, plan.first_event_ms / 1000)
            context.attempts += 1
            context.has_succeeded = False
            log_placed(self._fleet, context, plan)
            context.leave_reason = plan.leave_reason
            self._traffic.record(context)
            entry = self._fleet.endpoints.get(plan.endpoint)
            try:
                await self._attempt(context, plan, buffer)
                return
            except (RefusedError, NothingSentError, ExchangeBrokenError) as failure:
                error = failure
                if isinstance(failure, MemoryFullError):
                    context.full_endpoints.add(failure.endpoint)
                if isinstance(failure, EngineSilentError):
                    context.tried_endpoints.append(plan.endpoint)
                log_failure(context, plan, failure, buffer.event_count)
                buffer.discard_partial_event()
                context.broke_off |= _lost_connection(failure)
                if not isinstance(failure, EngineSilentError):
                    self._crash_detector.check(context, entry, failure)
        raise final_error(
            self._fleet, context, error, trio.current_time(), RETRY_AFTER_S
        )

    def _may_attempt(self, context: RequestContext, buffer: EventBuffer) -> bool:
        """Return whether there may be another attempt, after the first one."""
        if not context.attempts:
            return True
        return buffer.can_be_continued and may_attempt_again(
            self._fleet, context, trio.current_time()
        )

    async def _next_plan(
        self, context: RequestContext, buffer: EventBuffer
    ) -> StreamPlan | None:
        """Wait for a slot and for the limit of the main engine; return the plan.

        Returns ``None`` if no engine may get the request in time.
        """
        for _ in range(MAX_LIMIT_REFUSALS):
            if not buffer.event_count:
                await self._slot_queues.wait_for_slot(
                    context, lambda: self._plan(context)
                )
            plan = self._plan(context)
            if plan is None:
                return None
            self._refuse_if_too_late(context, plan)
            if await self._admit(context, plan):
                return plan
        return None

    async def _admit(self, context: RequestContext, plan: StreamPlan) -> bool:
        """Wait until the limit of the main engine allows the request."""
        entry = self._fleet.endpoints.get(plan.endpoint)
        max_wait_s = max_limit_wait_s(context, trio.current_time())
        return entry is None or await self._limit_gate.admit(entry, max_wait_s)

    def _refuse_if_too_late(self, context: RequestContext, plan: StreamPlan) -> None:
        """Refuse a request whose first event is predicted after its deadline.

        :raises OverloadedError: no engine can start the request in time.
        """
        remaining_s = context.remaining_s(trio.current_time())
        first_event_s = plan.first_event_ms / 1000
        if (
            context.possible_runs
            or context.response_writer.started
            or first_event_s <= remaining_s
        ):
            return
        raise OverloadedError(
            f"the first event would take {first_event_s:.1f} s, "
            f"but {remaining_s:.1f} s are left",
            retry_after_s=max(
                RETRY_AFTER_S, first_event_s - context.route.first_event_target_s
            ),
        )

    def _silence_timeout(
        self, context: RequestContext, plan: StreamPlan
    ) -> SilenceTimeout:
        def find_plan() -> StreamPlan | None:
            return self._plan(context, excluded=(plan.endpoint,))

        return SilenceTimeout(self._fleet, context, plan, find_plan)

    def _plan(
        self, context: RequestContext, excluded: tuple[EndpointId, ...] = ()
    ) -> StreamPlan | None:
        now = trio.current_time()
        prompt = context.request.prompt_size or PromptSize(0, 0)
        demand = self._placer.demand(
            prompt.prompt_tokens,
            prompt.likely_output_tokens,
            context.route.first_event_target_s - (now - context.arrived_at),
            context.route.gap_s,
        )
        return self._placer.place(
            context.service.id,
            context.service.engine,
            demand,
            [*context.tried_endpoints, *excluded],
            context.full_endpoints,
            now,
            max_limit_wait_s(context, now),
        )

    def _new_job(
        self, context: RequestContext, plan: StreamPlan, buffer: EventBuffer
    ) -> Job:
        prompt = context.request.prompt_size or PromptSize(0, 0)
        now = trio.current_time()
        return Job(
            id=self._job_ids.new(),
            origin=self._fleet.instance,
            endpoint=plan.endpoint,
            helpers=plan.helpers,
            prompt_tokens=prompt.prompt_tokens,
            output_tokens=prompt.likely_output_tokens,
            part_ms=plan.part_ms,
            gap_ms=context.route.gap_s * 1000,
            weight=answer_weight(prompt.prompt_tokens, prompt.likely_output_tokens),
            placed_at=now,
            first_event_target_ms=(
                context.route.first_event_target_s - (now - context.arrived_at)
            )
            * 1000,
            reserved_by_endpoint=plan.reserved_by_endpoint,
            deprioritized=_may_defer(plan, buffer),
            account=account_hash(context.account),
            is_less_urgent=not self._slot_queues.is_urgent(context),
        )

    async def _attempt(
        self, context: RequestContext, plan: StreamPlan, buffer: EventBuffer
    ) -> None:
        entry = self._fleet.endpoints.get(plan.endpoint)
        if entry is None:
            raise NothingSentError(
                f'"{plan.endpoint}" is no longer in the list of endpoints'
            )
        job = self._new_job(context, plan, buffer)
        remaining_s = context.remaining_s(trio.current_time())
        with Attempt(
            self._fleet, self._header_codec, context, job, plan.decode_ms
        ) as attempt:
            async with self._reservations.reserved(job, remaining_s) as helpers:
                dispatch = self._dispatch(context, plan, helpers, buffer)
                with trio.move_on_at(context.expires_at):
                    async with attempt.sending(entry, dispatch):
                        await self._relay(context, attempt, plan, buffer)
                    return
                raise ExchangeBrokenError(f'"{plan.endpoint}" ran out of time')

    def _dispatch(
        self,
        context: RequestContext,
        plan: StreamPlan,
        helpers: tuple[tuple[str, str], ...],
        buffer: EventBuffer,
    ) -> Dispatch:
        prefill_ms = plan.part_ms * (1 + len(plan.helpers))
        steps = sum(prefill_ms > bound_ms for bound_ms in PRIORITY_BOUNDS_MS)
        if _may_defer(plan, buffer):
            steps += LATE_PRIORITY_STEPS
        return Dispatch(
            endpoint=plan.endpoint,
            remaining_s=context.remaining_s(trio.current_time()),
            account=context.account,
            priority=BASE_PRIORITY + steps,
            helpers=helpers,
            after_event=buffer.last_id if buffer.event_count else None,
        )

    async def _relay(
        self,
        context: RequestContext,
        attempt: Attempt,
        plan: StreamPlan,
        buffer: EventBuffer,
    ) -> None:
        try:
            response = await self._receive_head(context, attempt, plan)
        except RefusedError as error:
            self._record_refusal(context, attempt, error)
            raise
        if response.status_code != OK:
            await self._relay_whole_response(context, attempt, response)
            return
        is_resumed = context.response_writer.started
        if is_resumed:
            check_continuation(attempt, response)
            buffer.expect_continuation()
        else:
            headers = self._header_codec.caller_headers(list(response.headers))
            await context.response_writer.send_head(
                response.status_code, without_length(headers)
            )
        previous_count = buffer.event_count
        await self._relay_events(context, attempt, plan, buffer)
        # That nothing more came may be the end of the stream or of the connection.
        has_ended = buffer.event_count > previous_count or attempt.has_framing
        if not buffer.ends_after_event or not has_ended:
            attempt.outcome = AttemptOutcome.FAILED
            raise ExchangeBrokenError(
                f'"{plan.endpoint}" ended before an event or inside one',
                connection_lost=True,
            )
        attempt.outcome = AttemptOutcome.GOOD
        # The end of the connection alone may also be that of the engine, and the rest
        # of a resumed stream may be too short for a crash.
        if attempt.has_framing and not is_resumed:
            self._part_checks.record_success(context, trio.current_time())
        await context.response_writer.finish()

    async def _receive_head(
        self, context: RequestContext, attempt: Attempt, plan: StreamPlan
    ) -> h11.Response:
        silence = self._silence_timeout(context, plan)
        try:
            response, _ = await silence.first_response(attempt.receive_head)
            return response
        except EngineSilentError as error:
            if plan.slot_ms or error.is_busy:
                attempt.outcome = AttemptOutcome.NEUTRAL
            elif plan.helpers:
                # Any of these engines may be the one that has not finished its part.
                attempt.outcome = AttemptOutcome.STUCK
                attempt.is_withheld = not self._fleet.is_own_view_sound(
                    plan.endpoint, trio.current_time()
                )
            else:
                self._progress.record_silence(plan)
            raise

    async def _relay_events(
        self,
        context: RequestContext,
        attempt: Attempt,
        plan: StreamPlan,
        buffer: EventBuffer,
    ) -> None:
        gaps = EventGaps(trio.current_time())
        silence = self._silence_timeout(context, plan)
        receive = functools.partial(receive_events, attempt, buffer)
        while True:
            try:
                complete_events = await silence.next_data(receive)
            except EngineSilentError as error:
                if not error.is_busy:
                    self._progress.record_silence(plan)
                raise
            except ExchangeBrokenError:
                attempt.outcome = AttemptOutcome.FAILED
                raise
            if complete_events is None:
                return
            self._progress.record_resumption(plan)
            self._progress.record_event(context, attempt, plan, gaps)
            await context.response_writer.send_data(complete_events)

    async def _relay_whole_response(
        self, context: RequestContext, attempt: Attempt, response: h11.Response
    ) -> None:
        body = await attempt.receive_body()
        if response.status_code >= SERVER_ERROR:
            attempt.outcome = AttemptOutcome.FAILED
            if can_run_again(context) or context.response_writer.started:
                raise ExchangeBrokenError(
                    f'"{attempt.job.endpoint}" responded with {response.status_code}'
                )
        elif context.response_writer.started:
            raise ExchangeBrokenError(
                f'"{attempt.job.endpoint}" responded with {response.status_code} '
                "after the response to the caller had started"
            )
        headers = self._header_codec.caller_headers(list(response.headers))
        await context.response_writer.send_head(response.status_code, headers)
        await context.response_writer.send_data(body)
        await context.response_writer.finish()

    def _record_refusal(
        self, context: RequestContext, attempt: Attempt, error: RefusedError
    ) -> None:
        """Record a refusal as a failure of the endpoint that caused it.

        That may be a helper, if the main engine refused because of it.
        """
        failed_endpoint = self._fleet.endpoints.at_address(error.failed_address)
        if failed_endpoint is not None and failed_endpoint.id != attempt.job.endpoint:
            attempt.outcome_endpoint = failed_endpoint.id
            attempt.outcome = AttemptOutcome.UNREACHABLE
            context.tried_endpoints.append(failed_endpoint.id)
            return
        attempt.outcome = AttemptOutcome.FAILED
        context.tried_endpoints.append(attempt.job.endpoint)


def _lost_connection(failure: Exception) -> bool:
    return isinstance(failure, ExchangeBrokenError) and failure.connection_lost


def _may_defer(plan: StreamPlan, buffer: EventBuffer) -> bool:
    """Return whether other requests may run first at the endpoint.

    They may not for a stream that has started: its caller waits for the next event.
    """
    return plan.deprioritized and not buffer.event_count
