"""The path of a model request: admit, route, attempt, and again."""

import logging

import trio

from ..core import (
    AccountId,
    Quote,
    RetryBudget,
    Service,
    ServiceId,
    ServiceKind,
    may_retry,
)
from ..errors import (
    DeadlineExceededError,
    EndpointFailedError,
    FoxtailsaddleError,
    OverloadedError,
    PromptTooLargeError,
    ServiceUnknownError,
)
from ..verdicts import Verdict
from ._attempts import Answer, AttemptRunner, ModelCall, Sink
from ._environment import Environment
from ._groups import GroupRunner
from ._guards import CrashWatch, LimitGuard, allowance_of
from ._router import Router, Wish
from ._settings_keeper import SettingsKeeper
from ._trip import Trip, TripDesk

logger = logging.getLogger("foxtailsaddle.gateway")

NO_ENDPOINT_WAIT_S = 2.0
NO_ENDPOINT_PAUSE_S = 0.05
MIN_RETRY_AFTER_S = 1.0
PATIENCE = 0.3


class Gateway:
    """Serves model requests."""

    def __init__(
        self,
        env: Environment,
        keeper: SettingsKeeper,
        desk: TripDesk,
        router: Router,
        limits: LimitGuard,
        crashes: CrashWatch,
        runner: AttemptRunner,
        groups: GroupRunner,
    ) -> None:
        self._env = env
        self._keeper = keeper
        self._desk = desk
        self._router = router
        self._limits = limits
        self._crashes = crashes
        self.runner = runner
        self._groups = groups
        self._budget = RetryBudget()

    def service(self, service_id: ServiceId, kind: ServiceKind) -> Service:
        """Return a service's settings.

        :raises ServiceUnknownError: no service of this kind has that name.
        """
        service = self._keeper.log.tree.services.get(service_id)
        if service is None or service.kind is not kind:
            raise ServiceUnknownError(
                f'{kind.value} service "{service_id}" does not exist'
            )
        return service

    def open(
        self,
        account: AccountId,
        service: ServiceId,
        allowed_s: float | None,
        fingerprint: str,
    ) -> Trip:
        """Open a trip for a request of this account."""
        policy = self._keeper.log.tree.policy(account, service)
        return self._desk.open(account, service, policy, allowed_s, fingerprint)

    async def complete(self, trip: Trip, call: ModelCall, sink: Sink) -> None:
        """Serve one request; the sink gets the whole answer, or this raises.

        :raises FoxtailsaddleError: the final answer, with its verdict.
        """
        with self._env.tracer.start_as_current_span("request") as span:
            span.set_attribute("request", trip.request_id)
            span.set_attribute("tokens", call.tokens)
            answer = Answer(sink)
            try:
                with trio.fail_at(trip.deadline):
                    await self._admit(trip, call)
                    await self._attempt_until_whole(trip, call, answer)
            except trio.TooSlowError as error:
                raise DeadlineExceededError(
                    "the allowed time ended before the answer was whole",
                    retry_after_s=MIN_RETRY_AFTER_S,
                    verdict=trip.verdict,
                ) from error
            finally:
                self._crashes.end(trip.fingerprint, trip.request_id, answer.finished)
                self._desk.close(trip)
                span.set_attribute("verdict", trip.verdict.value)

    async def _admit(self, trip: Trip, call: ModelCall) -> None:
        with self._env.tracer.start_as_current_span("admit"):
            self._check_size(trip, call)
            service = self.service(trip.service, ServiceKind.MODEL)
            trip.lag_s = await self._limits.admit(
                trip.account,
                trip.service,
                call.held_tokens,
                allowance_of(trip.policy, service.prefill_tokens_per_s),
            )
            trip.note(
                "admitted",
                f"estimated at {call.tokens} tokens, ranks {trip.lag_s:.1f} s later",
            )

    def _check_size(self, trip: Trip, call: ModelCall) -> None:
        service = self.service(trip.service, ServiceKind.MODEL)
        capacities = [item.capacity_tokens for item in service.endpoints.values()]
        trip.tokens = call.tokens
        trip.grouped = call.held_tokens > max(capacities, default=0)
        if trip.grouped and not self._groups.holds(trip, call.held_tokens):
            raise PromptTooLargeError(
                f"a prompt of {call.tokens} tokens does not fit service "
                f'"{trip.service}", whose endpoints hold {sum(capacities)}'
            )

    async def _attempt_until_whole(
        self, trip: Trip, call: ModelCall, answer: Answer
    ) -> None:
        self._budget.note_first_attempt()
        while True:
            try:
                await self._may_run(trip)
                with self._env.tracer.start_as_current_span("attempt") as span:
                    span.set_attribute("attempt", str(trip.attempt))
                    await self._attempt(trip, call, answer)
                return
            except EndpointFailedError as error:
                self._count_attempt(error.endpoint, error.code)
                self._prepare_retry(trip, error)
            except FoxtailsaddleError as error:
                error.verdict = trip.verdict
                raise

    async def _attempt(self, trip: Trip, call: ModelCall, answer: Answer) -> None:
        if trip.grouped:
            await self._groups.run(call, trip, answer)
            return
        quote = await self._find_endpoint(trip, call)
        await self.runner.run(quote, call, trip, answer)
        self._count_attempt(quote.endpoint, "whole")

    def _prepare_retry(self, trip: Trip, error: EndpointFailedError) -> None:
        """Get the trip ready for another attempt, or raise the final answer."""
        trip.raise_verdict(error.verdict)
        self._router.failed(error.endpoint)
        trip.reached += error.verdict is not Verdict.NOT_RUN
        trip.note("attempt failed", error.message)
        again = may_retry(
            error.verdict,
            repeatable=True,
            attempts=trip.reached,
            max_attempts=trip.policy.max_attempts,
        )
        if not again or not self._budget.take():
            error.verdict = trip.verdict
            error.retry_after_s = MIN_RETRY_AFTER_S
            raise error
        trip.failed = trip.failed | {error.endpoint}
        trip.attempt = trip.attempt.next()

    async def _may_run(self, trip: Trip) -> None:
        """Wait until the crash watch lets this copy of the request run."""
        while True:
            reply = await self._crashes.start(
                trip.fingerprint, trip.request_id, trip.left_s, trip.death
            )
            trip.death = ""
            trip.suspect = trip.suspect or reply.deaths > 0
            if not reply.wait_s:
                return
            if trip.attempt.number == 1:
                raise OverloadedError(
                    "as many copies of this very request are running as may",
                    retry_after_s=reply.wait_s,
                )
            await trio.sleep(min(reply.wait_s, NO_ENDPOINT_PAUSE_S))

    async def _find_endpoint(self, trip: Trip, call: ModelCall) -> Quote:
        """Return the best endpoint, or refuse what can't finish in time."""
        since = self._env.clock.now()
        with self._env.tracer.start_as_current_span("route"):
            while True:
                quote = await self._router.choose(self._wish(trip, call))
                if quote is not None:
                    break
                if self._env.clock.now() - since > NO_ENDPOINT_WAIT_S:
                    raise OverloadedError(
                        f'no endpoint of service "{trip.service}" takes new work',
                        retry_after_s=MIN_RETRY_AFTER_S,
                    )
                trip.failed = frozenset()
                await trio.sleep(NO_ENDPOINT_PAUSE_S)
        # A request that has been begun is not shed, if it can still be done.
        patience = 1.0 if trip.reached else PATIENCE
        if quote.wait_s > patience * (trip.left_s - quote.own_s):
            raise OverloadedError(
                f"{quote.wait_s:.1f} s of work are ahead and {quote.own_s:.1f} s its "
                f"own, too much for the {trip.left_s:.1f} s left",
                retry_after_s=max(MIN_RETRY_AFTER_S, quote.wait_s),
            )
        trip.note(
            "routed",
            f'to "{quote.endpoint}": {quote.wait_s:.3f} s of work ahead, '
            f"{quote.own_s:.3f} s of its own",
        )
        return quote

    def _wish(self, trip: Trip, call: ModelCall) -> Wish:
        return Wish(
            service=trip.service,
            tokens=call.tokens,
            held_tokens=call.held_tokens,
            waited_s=trip.ranked_wait_s,
            without=trip.failed,
            suspect=trip.suspect,
            probes=call.probes,
        )

    def _count_attempt(self, endpoint: str, result: str) -> None:
        self._env.metrics.attempts.inc({"endpoint": endpoint, "result": result})
