"""Forwards requests to plain services.

A response is passed on once it is complete, so a failed attempt can be repeated.
"""

import dataclasses
import logging
import random

import h11
import trio

from ...core import (
    AttemptOutcome,
    Distance,
    EndpointId,
    Job,
    LeaveReason,
    ListedEndpoint,
    PlainCandidate,
    leave_reason,
    place_plain,
)
from ...errors import (
    DeadlineExceededError,
    ExchangeBrokenError,
    NoEndpointError,
    NothingSentError,
)
from ...ports import Dispatch, HeaderCodec
from .._data_centre_traffic import DataCentreTraffic
from .._fleet import FleetState
from .._request_context import RequestContext
from .._retrying import (
    can_run_again,
    claim_retry,
    eligible_endpoints,
    final_error,
    max_limit_wait_s,
    may_attempt_again,
)
from ..attempts import Attempt, CrashDetector, JobIdGenerator, RefusedError
from ..limits import LimitGate
from ..transport import unwrap_error_group

logger = logging.getLogger("foxtailsaddle.plain")

EXPECTED_DURATION_S = 0.15  # of a request to a plain service
MAX_ATTEMPTS = 4
MAX_LIMIT_REFUSALS = 8  # until a request is refused because of limits
FIRST_ATTEMPT_TIME_SHARE = 0.5  # of the time left, if another attempt may follow
CLAIM_INTERVAL_S = 0.1  # between two tries to go on at another endpoint
RETRY_AFTER_S = 0.3
SERVER_ERROR = 500


class EndpointSilentError(ExchangeBrokenError):
    """An endpoint did not answer in time; it may go on."""


@dataclasses.dataclass(slots=True)
class _Reply:
    response: h11.Response
    body: bytes


class PlainForwarder:
    """Forwards requests whose responses are not streamed."""

    def __init__(
        self,
        fleet: FleetState,
        header_codec: HeaderCodec,
        distance: Distance,
        job_ids: JobIdGenerator,
        crash_detector: CrashDetector,
        limit_gate: LimitGate,
        traffic: DataCentreTraffic,
    ) -> None:
        self._fleet = fleet
        self._header_codec = header_codec
        self._distance = distance
        self._job_ids = job_ids
        self._crash_detector = crash_detector
        self._traffic = traffic
        self._limit_gate = limit_gate

    async def forward(self, context: RequestContext) -> None:
        """Forward a request and pass the response on to the caller.

        :raises FoxtailsaddleError: no endpoint's response could be passed on.
        """
        reply = await self._request_with_retries(context)
        headers = self._header_codec.caller_headers(list(reply.response.headers))
        await context.response_writer.send_head(reply.response.status_code, headers)
        await context.response_writer.send_data(reply.body)
        await context.response_writer.finish()

    async def _request_with_retries(self, context: RequestContext) -> _Reply:
        last: _Reply | None = None
        error: Exception = NoEndpointError(
            f'service "{context.service.id}" has no endpoint that takes requests'
        )
        while context.attempts < MAX_ATTEMPTS:
            if context.attempts and not may_attempt_again(
                self._fleet, context, trio.current_time()
            ):
                break
            endpoint = await self._choose_admitted(context)
            if endpoint is None:
                break
            if context.remaining_s(trio.current_time()) <= 0:
                error = DeadlineExceededError("no time was left for an attempt")
                break
            context.attempts += 1
            context.tried_endpoints.append(endpoint.id)
            self._traffic.record(context)
            try:
                reply = await self._attempt(context, endpoint)
            except (RefusedError, NothingSentError, ExchangeBrokenError) as failure:
                error = failure
                self._record_failure(context, endpoint, failure)
                may_have_run = isinstance(failure, ExchangeBrokenError)
                if may_have_run and not context.route.repeatable:
                    break
                continue
            if (
                reply.response.status_code < SERVER_ERROR
                or not context.route.repeatable
            ):
                self._fleet.record_success(context.fingerprint, (), trio.current_time())
                return reply
            last = reply
        if last is not None:
            return last
        raise final_error(
            self._fleet, context, error, trio.current_time(), RETRY_AFTER_S
        )

    def _record_failure(
        self, context: RequestContext, endpoint: ListedEndpoint, failure: Exception
    ) -> None:
        """Log why an attempt failed, and check whether its endpoint crashed."""
        self._log_failure(context, endpoint, failure)
        if not isinstance(failure, EndpointSilentError):
            self._crash_detector.check(context, endpoint, failure)

    def _log_failure(
        self, context: RequestContext, endpoint: ListedEndpoint, error: Exception
    ) -> None:
        now = trio.current_time()
        logger.warning(
            "plain: attempt failed",
            extra={
                "id": context.request.id,
                "endpoint": endpoint.id,
                "why": str(error),
                "may_have_run": context.possible_runs,
                "repeatable": context.route.repeatable,
                "failure_share": round(
                    self._fleet.health.failure_share(endpoint.id, now), 2
                ),
                "left_ms": round(context.remaining_s(now) * 1000),
            },
        )

    async def _choose_admitted(self, context: RequestContext) -> ListedEndpoint | None:
        """Choose an endpoint, and wait until its limit allows a request."""
        for _ in range(MAX_LIMIT_REFUSALS):
            endpoint = self._choose(context)
            if endpoint is None:
                return None
            max_wait_s = max_limit_wait_s(context, trio.current_time())
            if await self._limit_gate.admit(endpoint, max_wait_s):
                return endpoint
        return None

    def _choose(self, context: RequestContext) -> ListedEndpoint | None:
        now = trio.current_time()
        available = self._fleet.available(context.service.id, now)
        usable = eligible_endpoints(
            self._fleet,
            available,
            context.tried_endpoints,
            max_limit_wait_s(context, now),
            now,
        )
        by_id = {entry.id: entry for entry in usable}
        candidates = [self._candidate(entry, now) for entry in by_id.values()]
        chosen = by_id.get(place_plain(candidates, self._distance))
        if chosen is not None:
            context.leave_reason = self._leave_reason(chosen, candidates)
        return chosen

    def _leave_reason(
        self, chosen: ListedEndpoint, candidates: list[PlainCandidate]
    ) -> LeaveReason | None:
        # A plain endpoint has no slots that could all be taken.
        slots = ((candidate.data_centre, True) for candidate in candidates)
        return leave_reason(chosen.data_centre, self._distance.home, slots)

    def _candidate(self, entry: ListedEndpoint, now: float) -> PlainCandidate:
        return PlainCandidate(
            id=entry.id,
            data_centre=entry.data_centre,
            in_flight=self._fleet.engine_loads.load(entry.id, now).requests,
            failure_share=self._fleet.health.failure_share(entry.id, now),
            limit_wait_calls=self._fleet.request_limits.wait_s(entry, now)
            / EXPECTED_DURATION_S,
            preference=self._preference(),
            tie_break=random.random(),
        )

    def _preference(self) -> float:
        """Return a random preference while the calls of others are not known."""
        return 0.0 if self._fleet.announces_calls() else random.random()

    def _new_job(self, endpoint: EndpointId) -> Job:
        return Job(
            id=self._job_ids.new(),
            origin=self._fleet.instance,
            endpoint=endpoint,
            helpers=(),
            prompt_tokens=0,
            output_tokens=0,
            part_ms=0.0,
            gap_ms=0.0,
            weight=0.0,
            placed_at=trio.current_time(),
        )

    async def _attempt(self, context: RequestContext, entry: ListedEndpoint) -> _Reply:
        began_at = trio.current_time()
        remaining_s = max(0.0, context.remaining_s(began_at))
        dispatch = Dispatch(entry.id, remaining_s, context.account)
        with Attempt(
            self._fleet,
            self._header_codec,
            context,
            self._new_job(entry.id),
            EXPECTED_DURATION_S * 1000,
            self._fleet.announces_calls(),
        ) as attempt:
            with trio.move_on_after(remaining_s) as attempt_scope, unwrap_error_group():
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        self._give_up_if_replaceable, context, attempt_scope
                    )
                    reply = await self._request(attempt, entry, dispatch)
                    nursery.cancel_scope.cancel()
                return reply
            attempt.outcome = AttemptOutcome.FAILED
            attempt.is_withheld = not self._fleet.is_own_view_sound(
                entry.id, trio.current_time()
            )
            waited_s = trio.current_time() - began_at
            raise EndpointSilentError(
                f'"{entry.id}" did not answer in {waited_s:.2f} s'
            )

    async def _give_up_if_replaceable(
        self, context: RequestContext, attempt_scope: trio.CancelScope
    ) -> None:
        """Cancel an attempt once half of its time is over and another may follow.

        While no retry is granted or there is no other endpoint, the attempt goes on:
        the endpoint may still answer.
        """
        remaining_s = max(0.0, context.remaining_s(trio.current_time()))
        await trio.sleep(remaining_s * FIRST_ATTEMPT_TIME_SHARE)
        while not self._may_replace(context):
            await trio.sleep(CLAIM_INTERVAL_S)
        attempt_scope.cancel()

    def _may_replace(self, context: RequestContext) -> bool:
        if context.attempts >= MAX_ATTEMPTS or not can_run_again(context):
            return False
        other = self._choose(context)
        if other is None or other.id in context.tried_endpoints:
            return False
        return claim_retry(self._fleet, context, trio.current_time())

    async def _request(
        self, attempt: Attempt, entry: ListedEndpoint, dispatch: Dispatch
    ) -> _Reply:
        async with attempt.sending(entry, dispatch):
            response, _ = await attempt.receive_head()
            body = await attempt.receive_body()
        failed = response.status_code >= SERVER_ERROR
        attempt.outcome = AttemptOutcome.FAILED if failed else AttemptOutcome.GOOD
        return _Reply(response, body)
