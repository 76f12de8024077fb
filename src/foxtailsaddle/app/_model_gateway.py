"""The request path for model calls: admission, routing, attempts, retries."""

import logging
import math

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
from ._admission import CrashQuarantine, RateLimiter, account_allowance
from ._attempts import Answer, AttemptRunner, ModelCall, Sink
from ._environment import Environment
from ._group_runner import GroupRunner
from ._part_quarantine import PartQuarantine
from ._request_context import RequestContext, RequestRegistry
from ._router import Router, RoutingRequest
from ._settings_manager import SettingsManager

logger = logging.getLogger("foxtailsaddle.gateway")

NO_ENDPOINT_TIMEOUT_S = 2.0
NO_ENDPOINT_PAUSE_S = 0.05
MIN_RETRY_AFTER_S = 1.0
MAX_WAIT_SHARE = 0.3  # of the remaining time, for a request not yet started


class ModelGateway:
    """Serves requests to model services."""

    def __init__(
        self,
        env: Environment,
        settings_manager: SettingsManager,
        request_registry: RequestRegistry,
        router: Router,
        rate_limiter: RateLimiter,
        crash_quarantine: CrashQuarantine,
        part_quarantine: PartQuarantine,
        attempt_runner: AttemptRunner,
        group_runner: GroupRunner,
    ) -> None:
        self._env = env
        self._settings_manager = settings_manager
        self._request_registry = request_registry
        self._router = router
        self._rate_limiter = rate_limiter
        self._crash_quarantine = crash_quarantine
        self._part_quarantine = part_quarantine
        self.attempt_runner = attempt_runner
        self._group_runner = group_runner
        self._retry_budget = RetryBudget()

    def service(self, service_id: ServiceId, kind: ServiceKind) -> Service:
        """Return a service's settings.

        :raises ServiceUnknownError: no service of this kind has that name.
        """
        service = self._settings_manager.log.tree.services.get(service_id)
        if service is None or service.kind is not kind:
            raise ServiceUnknownError(
                f'{kind.value} service "{service_id}" does not exist'
            )
        return service

    def open_request(
        self,
        account: AccountId,
        service: ServiceId,
        allowed_s: float | None,
        fingerprint: str,
    ) -> RequestContext:
        """Register a request of this account and return its context."""
        policy = self._settings_manager.log.tree.policy(account, service)
        return self._request_registry.open(
            account, service, policy, allowed_s, fingerprint
        )

    async def complete(
        self, context: RequestContext, call: ModelCall, sink: Sink
    ) -> None:
        """Serve one request; writes the complete answer to the sink, or raises.

        :raises FoxtailsaddleError: the final error, with its verdict.
        """
        with self._env.tracer.start_as_current_span("request") as span:
            span.set_attribute("request", context.request_id)
            span.set_attribute("tokens", call.tokens)
            answer = Answer(sink)
            try:
                with trio.fail_at(context.deadline):
                    await self._admit(context, call)
                    await self._attempt_until_complete(context, call, answer)
            except trio.TooSlowError as error:
                raise DeadlineExceededError(
                    "the allowed time ended before the answer was complete",
                    retry_after_s=MIN_RETRY_AFTER_S,
                    verdict=context.verdict,
                ) from error
            finally:
                if context.last_death:
                    self._crash_quarantine.report_death(
                        context.fingerprint, context.last_death
                    )
                self._crash_quarantine.report_end(
                    context.fingerprint, context.request_id, answer.finished
                )
                self._request_registry.close(context)
                span.set_attribute("verdict", context.verdict.value)

    async def _admit(self, context: RequestContext, call: ModelCall) -> None:
        with self._env.tracer.start_as_current_span("admit"):
            context.parts = call.parts
            self._part_quarantine.check_arrival(context)
            self._check_size(context, call)
            service = self.service(context.service, ServiceKind.MODEL)
            context.rank_penalty_s = await self._rate_limiter.admit(
                context.account,
                context.service,
                call.held_tokens,
                account_allowance(context.policy, service.prefill_tokens_per_s),
            )
            context.record(
                "admitted",
                f"estimated at {call.tokens} tokens, "
                f"ranks {context.rank_penalty_s:.1f} s later",
            )

    def _check_size(self, context: RequestContext, call: ModelCall) -> None:
        service = self.service(context.service, ServiceKind.MODEL)
        capacities = [item.capacity_tokens for item in service.endpoints.values()]
        context.prompt_tokens = call.tokens
        context.needs_group = call.held_tokens > max(capacities, default=0)
        if context.needs_group and not self._group_runner.fits(
            context, call.held_tokens
        ):
            raise PromptTooLargeError(
                f"a prompt of {call.tokens} tokens does not fit service "
                f'"{context.service}", whose endpoints hold {sum(capacities)}'
            )

    async def _attempt_until_complete(
        self, context: RequestContext, call: ModelCall, answer: Answer
    ) -> None:
        self._retry_budget.record_first_attempt()
        while True:
            try:
                await self._wait_until_allowed(context)
                with self._env.tracer.start_as_current_span("attempt") as span:
                    span.set_attribute("attempt", str(context.attempt))
                    await self._attempt(context, call, answer)
                self._part_quarantine.report_success(context)
                return
            except EndpointFailedError as error:
                self._part_quarantine.report_crash(context)
                self._count_attempt(error.endpoint, error.code)
                self._prepare_retry(context, error)
            except FoxtailsaddleError as error:
                error.verdict = context.verdict
                raise

    async def _attempt(
        self, context: RequestContext, call: ModelCall, answer: Answer
    ) -> None:
        if context.needs_group:
            await self._group_runner.run(call, context, answer)
            return
        quote = await self._find_endpoint(context, call)
        await self.attempt_runner.run(quote, call, context, answer)
        self._count_attempt(quote.endpoint, "whole")

    def _prepare_retry(
        self, context: RequestContext, error: EndpointFailedError
    ) -> None:
        """Prepare the next attempt, or raise the final error."""
        context.strengthen_verdict(error.verdict)
        self._router.report_failed(error.endpoint)
        context.attempts_reached += error.verdict is not Verdict.NOT_RUN
        context.record("attempt failed", error.message)
        retry_allowed = may_retry(
            error.verdict,
            repeatable=True,
            attempts=context.attempts_reached,
            max_attempts=context.policy.max_attempts,
        )
        if not retry_allowed or not self._retry_budget.take():
            error.verdict = context.verdict
            error.retry_after_s = MIN_RETRY_AFTER_S
            raise error
        context.failed_endpoints = context.failed_endpoints | {error.endpoint}
        context.attempt = context.attempt.next()
        context.first_token_at = math.inf

    async def _wait_until_allowed(self, context: RequestContext) -> None:
        """Wait until the crash quarantine allows this copy of the request to run."""
        while True:
            reply = await self._crash_quarantine.request_start(
                context.fingerprint,
                context.request_id,
                context.remaining_s,
                context.last_death,
            )
            context.last_death = ""
            context.is_suspect = context.is_suspect or reply.deaths > 0
            if reply.wait_s and context.attempt.number == 1:
                raise OverloadedError(
                    "too many copies of this request are already running",
                    retry_after_s=reply.wait_s,
                )
            wait_s = reply.wait_s or self._part_quarantine.claim_start(context)
            if not wait_s:
                return
            await trio.sleep(min(wait_s, NO_ENDPOINT_PAUSE_S))

    async def _find_endpoint(self, context: RequestContext, call: ModelCall) -> Quote:
        """Return the best quote, or refuse a request that can't finish in time."""
        started_at = self._env.clock.now()
        with self._env.tracer.start_as_current_span("route"):
            while True:
                quote = await self._router.choose(self._routing_request(context, call))
                if quote is not None:
                    break
                if self._env.clock.now() - started_at > NO_ENDPOINT_TIMEOUT_S:
                    raise OverloadedError(
                        f'no endpoint of service "{context.service}" accepts new work',
                        retry_after_s=MIN_RETRY_AFTER_S,
                    )
                context.failed_endpoints = frozenset()
                await trio.sleep(NO_ENDPOINT_PAUSE_S)
        # A request that an endpoint has already worked on is kept if it can still
        # finish in time; a new one is refused earlier.
        max_wait_share = 1.0 if context.attempts_reached else MAX_WAIT_SHARE
        if quote.wait_s > max_wait_share * (context.remaining_s - quote.own_s):
            raise OverloadedError(
                f"{quote.wait_s:.1f} s of queued work and {quote.own_s:.1f} s for this "
                f"request exceed the remaining {context.remaining_s:.1f} s",
                retry_after_s=max(MIN_RETRY_AFTER_S, quote.wait_s),
            )
        context.record(
            "routed",
            f'to "{quote.endpoint}": {quote.wait_s:.3f} s of work ahead, '
            f"{quote.own_s:.3f} s of its own",
        )
        return quote

    def _routing_request(
        self, context: RequestContext, call: ModelCall
    ) -> RoutingRequest:
        return RoutingRequest(
            service=context.service,
            tokens=call.tokens,
            held_tokens=call.held_tokens,
            rank_wait_s=context.rank_wait_s,
            failed_endpoints=context.failed_endpoints,
            is_suspect=context.is_suspect,
            probes=call.probes,
        )

    def _count_attempt(self, endpoint: str, result: str) -> None:
        self._env.metrics.attempts.inc({"endpoint": endpoint, "result": result})
