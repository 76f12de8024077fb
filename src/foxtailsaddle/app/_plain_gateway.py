"""Serves calls to plain services, which are all services but those of models.

Calls of a service that is not repeatable run at most once per idempotency key.
"""

import base64
import dataclasses

import trio

from .._input_readers import read_int, read_json, read_optional, read_text
from ..core import (
    EndpointId,
    Entry,
    EntryState,
    Outcome,
    RetryBudget,
    Service,
    closed_entry,
    may_retry,
)
from ..errors import (
    AnswerNotHeldError,
    DeadlineExceededError,
    EndpointFailedError,
    ExchangeBrokenError,
    FoxtailsaddleError,
    NothingSentError,
    NotReadyError,
    OutcomeUnknownError,
    OverloadedError,
    RequestInvalidError,
)
from ..ports import Placed, PlainCall, PlainResponse, TakeRoom, take_nothing
from ..verdicts import Verdict
from ._admission import RateLimiter, account_allowance
from ._environment import Environment
from ._idempotency_ledger import Claim, IdempotencyLedger
from ._request_context import RequestContext, RequestRegistry
from ._router import Router, RoutingRequest

LEDGER_CLOSE_WAIT_S = 1.0
RETRY_AFTER_S = 1.0
NO_ENDPOINT_PAUSE_S = 0.05
NO_ENDPOINT_TIMEOUT_S = 2.0
OUTCOME_QUERY_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlainRequest:
    """A call as a caller sent it.

    :param key: the caller's idempotency key, if any.
    :param digest: hash of method, path and body, to detect a reused key.
    :param take_room: takes room for each part of the answer.
    """

    method: str
    path: str
    content_type: str
    body: bytes
    key: str | None
    digest: str
    take_room: TakeRoom = take_nothing


class PlainGateway:
    """Admits calls to plain services, routes them and retries failed attempts."""

    def __init__(
        self,
        env: Environment,
        request_registry: RequestRegistry,
        router: Router,
        rate_limiter: RateLimiter,
        ledger: IdempotencyLedger,
    ) -> None:
        self._env = env
        self._request_registry = request_registry
        self._router = router
        self._rate_limiter = rate_limiter
        self._ledger = ledger
        self._retry_budget = RetryBudget()

    async def call(
        self, context: RequestContext, service: Service, request: PlainRequest
    ) -> PlainResponse:
        """Serve one call and return the endpoint's answer.

        :raises FoxtailsaddleError: the final error, with its verdict.
        """
        at_most_once = not service.repeatable and request.method != "GET"
        with self._env.tracer.start_as_current_span("call") as span:
            span.set_attribute("request", context.request_id)
            try:
                with trio.fail_at(context.deadline):
                    if at_most_once and not request.key:
                        raise RequestInvalidError(
                            f'calls of service "{context.service}" run at most once '
                            f"and need an Idempotency-Key header"
                        )
                    allowance = account_allowance(context.policy)
                    await self._rate_limiter.admit(
                        context.account, context.service, 1, allowance
                    )
                    if at_most_once:
                        return await self._call_at_most_once(context, service, request)
                    return await self._call_until_answered(context, request)
            except trio.TooSlowError as error:
                raise DeadlineExceededError(
                    "the allowed time ended before the answer came",
                    retry_after_s=RETRY_AFTER_S,
                    verdict=context.verdict,
                ) from error
            finally:
                self._request_registry.close(context)
                span.set_attribute("verdict", context.verdict.value)

    async def _call_until_answered(
        self, context: RequestContext, request: PlainRequest
    ) -> PlainResponse:
        """Call a repeatable service, retrying while that is allowed."""
        self._retry_budget.record_first_attempt()
        while True:
            endpoint = await self._find_endpoint(context)
            try:
                return await self._attempt(
                    context, request, endpoint, new_connection=False
                )
            except FoxtailsaddleError as error:
                self._prepare_retry(context, error, endpoint, repeatable=True)

    async def _call_at_most_once(
        self, context: RequestContext, service: Service, request: PlainRequest
    ) -> PlainResponse:
        """Claim the idempotency key in the ledger, send the call and close the claim.

        The claim is closed also after an error or a cancellation.
        """
        endpoint = await self._find_endpoint(context)
        entry = self._make_entry(context, request, endpoint)
        try:
            claim = await self._ledger.claim(entry)
        except OutcomeUnknownError:
            claim = await self._recover_outcome(context, service, request, entry)
        if claim.is_repeat:
            context.strengthen_verdict(Verdict.RAN)
            context.record(
                "answered from the ledger", f"written by {claim.entry.token}"
            )
            return await _repeat_answer(context, request, claim.entry.outcome)
        context.record("claimed", f'at endpoint "{endpoint}"')
        outcome: Outcome | None = None
        try:
            answer = await self._send_claimed(context, request, endpoint)
            if answer.verdict is Verdict.RAN:
                outcome = _make_outcome(answer)
            return answer
        finally:
            closed = closed_entry(claim.entry, context.verdict, outcome)
            with trio.CancelScope(shield=True):
                await self._ledger.close(claim, closed, LEDGER_CLOSE_WAIT_S)

    async def _send_claimed(
        self, context: RequestContext, request: PlainRequest, endpoint: EndpointId
    ) -> PlainResponse:
        """Send a claimed call; retry only while no endpoint can have run it."""
        while True:
            try:
                return await self._attempt(
                    context, request, endpoint, new_connection=True
                )
            except FoxtailsaddleError as error:
                self._prepare_retry(context, error, endpoint, repeatable=False)
            endpoint = await self._find_endpoint(context)

    async def _attempt(
        self,
        context: RequestContext,
        request: PlainRequest,
        endpoint: EndpointId,
        *,
        new_connection: bool,
    ) -> PlainResponse:
        attempt = str(context.attempt)
        self._router.report_placed(_make_placed(endpoint, context))
        call = PlainCall(
            method=request.method,
            path=request.path,
            content_type=request.content_type,
            body=request.body,
            attempt=context.attempt,
            new_connection=new_connection,
            take_room=request.take_room,
        )
        previous_verdict = context.verdict
        # If this task is cancelled during the call, the call may have been sent, so
        # the verdict is strengthened beforehand.
        context.strengthen_verdict(Verdict.MAY_HAVE_RUN)
        try:
            url = self._router.find_endpoint(endpoint).url
            answer = await self._env.plain.call(url, call, context.remaining_s)
        except NothingSentError:
            context.verdict = previous_verdict
            raise
        except NotReadyError as error:
            raise _answer_not_held(context, error) from error
        finally:
            self._router.report_released(endpoint, attempt)
        if answer.verdict is Verdict.NOT_RUN:
            context.verdict = previous_verdict
            raise EndpointFailedError(
                f'endpoint "{endpoint}" refused the call with {answer.status}'
            )
        context.strengthen_verdict(answer.verdict)
        context.record("answered", f'endpoint "{endpoint}" said {answer.status}')
        return answer

    def _prepare_retry(
        self,
        context: RequestContext,
        error: FoxtailsaddleError,
        endpoint: EndpointId,
        *,
        repeatable: bool,
    ) -> None:
        """Prepare the next attempt, or raise the final error if no retry is allowed."""
        if isinstance(error, AnswerNotHeldError):
            raise error
        self._router.report_failed(endpoint)
        context.record("attempt failed", error.message)
        retry_allowed = may_retry(
            context.verdict,
            repeatable=repeatable,
            attempts=context.attempt.number,
            max_attempts=context.policy.max_attempts,
        )
        if retry_allowed and self._retry_budget.take():
            context.failed_endpoints = context.failed_endpoints | {endpoint}
            if repeatable:
                context.attempt = context.attempt.next()
            return
        if isinstance(error, NothingSentError | ExchangeBrokenError):
            raise EndpointFailedError(
                f'endpoint "{endpoint}" failed: {error.message}',
                verdict=context.verdict,
                retry_after_s=RETRY_AFTER_S,
            ) from error
        raise error

    async def _find_endpoint(self, context: RequestContext) -> EndpointId:
        started_at = self._env.clock.now()
        routing_request = RoutingRequest(
            context.service, 1, 1, context.elapsed_s, context.failed_endpoints
        )
        while (quote := await self._router.choose(routing_request)) is None:
            if self._env.clock.now() - started_at > NO_ENDPOINT_TIMEOUT_S:
                raise OverloadedError(
                    f'no endpoint of service "{context.service}" accepts new work',
                    retry_after_s=RETRY_AFTER_S,
                    verdict=context.verdict,
                )
            routing_request = dataclasses.replace(
                routing_request, failed_endpoints=frozenset()
            )
            await trio.sleep(NO_ENDPOINT_PAUSE_S)
        context.record("routed", f'to "{quote.endpoint}"')
        return quote.endpoint

    async def _recover_outcome(
        self,
        context: RequestContext,
        service: Service,
        request: PlainRequest,
        entry: Entry,
    ) -> Claim:
        """Ask the service for the outcome of a call whose answer was lost.

        Only a positive answer counts, since a call that the service does not
        know may still arrive.

        :raises OutcomeUnknownError: the service does not know the outcome.
        """
        lost_claim = await self._ledger.get_claim(
            context.account, context.service, request.key
        )
        unknown_error = OutcomeUnknownError(
            f'the outcome of idempotency key "{request.key}" was lost; '
            f"it is not sent again",
            verdict=Verdict.MAY_HAVE_RUN,
        )
        if service.outcome_path is None:
            raise unknown_error
        outcome_query = PlainCall(
            method="GET",
            path=service.outcome_path.format(attempt=lost_claim.entry.token),
            content_type="application/json",
            body=b"",
            attempt=context.attempt,
            new_connection=True,
        )
        for endpoint in service.endpoints.values():
            try:
                answer = await self._env.plain.call(
                    endpoint.url, outcome_query, OUTCOME_QUERY_TIMEOUT_S
                )
            except FoxtailsaddleError:
                continue
            outcome = read_optional(_decode_outcome, answer.body)
            if answer.status == 200 and outcome is not None:
                finished_entry = dataclasses.replace(
                    lost_claim.entry, state=EntryState.DONE, outcome=outcome
                )
                await self._ledger.close(lost_claim, finished_entry, 0.0)
                return Claim(finished_entry, lost_claim.version)
        raise unknown_error

    def _make_entry(
        self, context: RequestContext, request: PlainRequest, endpoint: EndpointId
    ) -> Entry:
        return Entry(
            account=context.account,
            service=context.service,
            key=request.key,
            digest=request.digest,
            state=EntryState.DISPATCHED,
            token=str(context.attempt),
            endpoint=endpoint,
            deadline_ms=context.attempt.deadline_ms,
            written_ms=self._env.clock.wall_ms(),
        )


def _make_placed(endpoint: EndpointId, context: RequestContext) -> Placed:
    return Placed(
        endpoint=endpoint,
        attempt=str(context.attempt),
        prompt_tokens=1,
        held_tokens=1,
        waited_s=context.elapsed_s,
        left_s=context.remaining_s,
        suspect=False,
    )


def _make_outcome(answer: PlainResponse) -> Outcome:
    return Outcome(
        status=answer.status,
        content_type=answer.content_type,
        body=base64.b64encode(answer.body).decode("ascii"),
    )


def _decode_outcome(body: bytes) -> Outcome:
    fields = read_json(body)
    return Outcome(
        status=read_int(fields["status"], low=100, high=599),
        content_type=read_text(fields["content_type"])
        if fields["content_type"]
        else "",
        body=base64.b64encode(base64.b64decode(fields["body"])).decode(),
    )


async def _repeat_answer(
    context: RequestContext, request: PlainRequest, outcome: Outcome
) -> PlainResponse:
    """Return the answer that the ledger has, within the room for answers."""
    body = base64.b64decode(outcome["body"])
    try:
        await request.take_room(len(body))
    except NotReadyError as error:
        raise _answer_not_held(context, error) from error
    return PlainResponse(
        status=outcome["status"],
        content_type=outcome["content_type"],
        body=body,
        verdict=Verdict.RAN,
    )


def _answer_not_held(
    context: RequestContext, error: NotReadyError
) -> AnswerNotHeldError:
    return AnswerNotHeldError(
        f"the answer was dropped: {error.message}",
        verdict=context.verdict,
        retry_after_s=RETRY_AFTER_S,
    )
