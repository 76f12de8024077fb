"""The path of a call to a plain service; some calls may run only once."""

import base64
import dataclasses
import json

import trio

from ..core import (
    EndpointId,
    Entry,
    EntryState,
    Outcome,
    RetryBudget,
    Service,
    closing,
    may_retry,
)
from ..errors import (
    DeadlineExceededError,
    EndpointFailedError,
    ExchangeBrokenError,
    FoxtailsaddleError,
    NothingSentError,
    OutcomeUnknownError,
    OverloadedError,
    RequestInvalidError,
)
from ..ports import Placed, PlainAnswer, PlainCall
from ..verdicts import Verdict
from ._environment import Environment
from ._guards import LimitGuard, allowance_of
from ._ledger_keeper import Claim, LedgerKeeper
from ._router import Router, Wish
from ._trip import Trip, TripDesk

CLOSE_WAIT_S = 1.0
RETRY_AFTER_S = 1.0
NO_ENDPOINT_PAUSE_S = 0.05
NO_ENDPOINT_WAIT_S = 2.0
OUTCOME_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlainRequest:
    """A call as a caller sent it.

    :param key: the caller's idempotency key, if any.
    :param digest: of method, path and body.
    """

    method: str
    path: str
    content_type: str
    body: bytes
    key: str | None
    digest: str


class PlainGateway:
    """Serves calls to plain services."""

    def __init__(
        self,
        env: Environment,
        desk: TripDesk,
        router: Router,
        limits: LimitGuard,
        ledger: LedgerKeeper,
    ) -> None:
        self._env = env
        self._desk = desk
        self._router = router
        self._limits = limits
        self._ledger = ledger
        self._budget = RetryBudget()

    async def call(
        self, trip: Trip, service: Service, request: PlainRequest
    ) -> PlainAnswer:
        """Serve one call and return the endpoint's answer.

        :raises FoxtailsaddleError: the final answer, with its verdict.
        """
        once = not service.repeatable and request.method != "GET"
        with self._env.tracer.start_as_current_span("call") as span:
            span.set_attribute("request", trip.request_id)
            try:
                with trio.fail_at(trip.deadline):
                    if once and not request.key:
                        raise RequestInvalidError(
                            f'calls of service "{trip.service}" run at most once '
                            f"and need an Idempotency-Key header"
                        )
                    allowance = allowance_of(trip.policy, trip.policy.requests_per_s)
                    await self._limits.admit(trip.account, trip.service, 1, allowance)
                    if once:
                        return await self._call_once(trip, service, request)
                    return await self._call_until_answered(trip, request)
            except trio.TooSlowError as error:
                raise DeadlineExceededError(
                    "the allowed time ended before the answer came",
                    retry_after_s=RETRY_AFTER_S,
                    verdict=trip.verdict,
                ) from error
            finally:
                self._desk.close(trip)
                span.set_attribute("verdict", trip.verdict.value)

    async def _call_until_answered(
        self, trip: Trip, request: PlainRequest
    ) -> PlainAnswer:
        """Call a repeatable service, and again while that may help."""
        self._budget.note_first_attempt()
        while True:
            endpoint = await self._find_endpoint(trip)
            try:
                return await self._attempt(trip, request, endpoint, fresh=False)
            except FoxtailsaddleError as error:
                self._prepare_retry(trip, error, endpoint, repeatable=True)

    async def _call_once(
        self, trip: Trip, service: Service, request: PlainRequest
    ) -> PlainAnswer:
        """Call under a claim in the ledger, which is closed in every case."""
        endpoint = await self._find_endpoint(trip)
        entry = self._entry(trip, request, endpoint)
        try:
            claim = await self._ledger.claim(entry)
        except OutcomeUnknownError:
            claim = await self._recover(trip, service, request, entry)
        if claim.is_repeat:
            trip.raise_verdict(Verdict.RAN)
            trip.note("answered from the ledger", f"written by {claim.entry.token}")
            return _stored_answer(claim.entry.outcome)
        trip.note("claimed", f'at endpoint "{endpoint}"')
        outcome: Outcome | None = None
        try:
            answer = await self._send_claimed(trip, request, endpoint)
            if answer.verdict is Verdict.RAN:
                outcome = _outcome(answer)
            return answer
        finally:
            closed = closing(claim.entry, trip.verdict, outcome)
            with trio.CancelScope(shield=True):
                await self._ledger.close(claim, closed, CLOSE_WAIT_S)

    async def _send_claimed(
        self, trip: Trip, request: PlainRequest, endpoint: EndpointId
    ) -> PlainAnswer:
        """Send a claimed call; again only while nothing has been written."""
        while True:
            try:
                return await self._attempt(trip, request, endpoint, fresh=True)
            except FoxtailsaddleError as error:
                self._prepare_retry(trip, error, endpoint, repeatable=False)
            endpoint = await self._find_endpoint(trip)

    async def _attempt(
        self, trip: Trip, request: PlainRequest, endpoint: EndpointId, *, fresh: bool
    ) -> PlainAnswer:
        attempt = str(trip.attempt)
        self._router.place(_placed(endpoint, trip))
        call = PlainCall(
            method=request.method,
            path=request.path,
            content_type=request.content_type,
            body=request.body,
            attempt=trip.attempt,
            fresh=fresh,
        )
        before = trip.verdict
        # A cancelled call may have been written, so the verdict says so first.
        trip.raise_verdict(Verdict.MAY_HAVE_RUN)
        try:
            url = self._router.find(endpoint).url
            answer = await self._env.plain.call(url, call, trip.left_s)
        except NothingSentError:
            trip.verdict = before
            raise
        finally:
            self._router.release(endpoint, attempt)
        if answer.verdict is Verdict.NOT_RUN:
            trip.verdict = before
            raise EndpointFailedError(
                f'endpoint "{endpoint}" refused the call with {answer.status}'
            )
        trip.raise_verdict(answer.verdict)
        trip.note("answered", f'endpoint "{endpoint}" said {answer.status}')
        return answer

    def _prepare_retry(
        self,
        trip: Trip,
        error: FoxtailsaddleError,
        endpoint: EndpointId,
        *,
        repeatable: bool,
    ) -> None:
        """Get the trip ready for another attempt, or raise the final answer."""
        self._router.failed(endpoint)
        trip.note("attempt failed", error.message)
        again = may_retry(
            trip.verdict,
            repeatable=repeatable,
            attempts=trip.attempt.number,
            max_attempts=trip.policy.max_attempts,
        )
        if again and self._budget.take():
            trip.failed = trip.failed | {endpoint}
            if repeatable:
                trip.attempt = trip.attempt.next()
            return
        if isinstance(error, NothingSentError | ExchangeBrokenError):
            raise EndpointFailedError(
                f'endpoint "{endpoint}" failed: {error.message}',
                verdict=trip.verdict,
                retry_after_s=RETRY_AFTER_S,
            ) from error
        raise error

    async def _find_endpoint(self, trip: Trip) -> EndpointId:
        since = self._env.clock.now()
        wish = Wish(trip.service, 1, 1, trip.waited_s, trip.failed)
        while (quote := await self._router.choose(wish)) is None:
            if self._env.clock.now() - since > NO_ENDPOINT_WAIT_S:
                raise OverloadedError(
                    f'no endpoint of service "{trip.service}" takes new work',
                    retry_after_s=RETRY_AFTER_S,
                    verdict=trip.verdict,
                )
            wish = dataclasses.replace(wish, without=frozenset())
            await trio.sleep(NO_ENDPOINT_PAUSE_S)
        trip.note("routed", f'to "{quote.endpoint}"')
        return quote.endpoint

    async def _recover(
        self, trip: Trip, service: Service, request: PlainRequest, entry: Entry
    ) -> Claim:
        """Ask the service what a call did whose outcome was lost.

        Only a positive answer counts: a call that the service does not know
        may still be on its way.

        :raises OutcomeUnknownError: the service can't tell.
        """
        found = await self._ledger.show(trip.account, trip.service, request.key)
        unknown = OutcomeUnknownError(
            f'the outcome of idempotency key "{request.key}" was lost; '
            f"it is not sent again",
            verdict=Verdict.MAY_HAVE_RUN,
        )
        if service.outcome_path is None:
            raise unknown
        question = PlainCall(
            method="GET",
            path=service.outcome_path.format(attempt=found.token),
            content_type="application/json",
            body=b"",
            attempt=trip.attempt,
            fresh=True,
        )
        for endpoint in service.endpoints.values():
            try:
                answer = await self._env.plain.call(endpoint.url, question, OUTCOME_S)
            except FoxtailsaddleError:
                continue
            if answer.status == 200:
                outcome = Outcome(**json.loads(answer.body))
                done = dataclasses.replace(
                    found, state=EntryState.DONE, outcome=outcome
                )
                return Claim(done, 0)
        raise unknown

    def _entry(self, trip: Trip, request: PlainRequest, endpoint: EndpointId) -> Entry:
        return Entry(
            account=trip.account,
            service=trip.service,
            key=request.key,
            digest=request.digest,
            state=EntryState.DISPATCHED,
            token=str(trip.attempt),
            endpoint=endpoint,
            deadline_ms=trip.attempt.deadline_ms,
            written_ms=self._env.clock.wall_ms(),
        )


def _placed(endpoint: EndpointId, trip: Trip) -> Placed:
    return Placed(
        endpoint=endpoint,
        attempt=str(trip.attempt),
        prompt_tokens=1,
        held_tokens=1,
        waited_s=trip.waited_s,
        left_s=trip.left_s,
        suspect=False,
    )


def _outcome(answer: PlainAnswer) -> Outcome:
    return Outcome(
        status=answer.status,
        content_type=answer.content_type,
        body=base64.b64encode(answer.body).decode("ascii"),
    )


def _stored_answer(outcome: Outcome) -> PlainAnswer:
    return PlainAnswer(
        status=outcome["status"],
        content_type=outcome["content_type"],
        body=base64.b64decode(outcome["body"]),
        verdict=Verdict.RAN,
    )
