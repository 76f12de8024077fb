"""Runs a prompt that does not fit one engine on a group of engines.

Memory is first reserved on all members or on none. Each member but the last
prefills its part of the prompt on top of the preceding parts; the last one
imports their KV cache and generates. Reservations are released in every case.
"""

import itertools
import logging
import typing as t

import trio

from ..core import Candidate, Liveness, Share, group_capacity, plan_group
from ..errors import EndpointFailedError, FoxtailsaddleError, OverloadedError
from ..ports import AttemptState, KvPart
from ..verdicts import Verdict
from ._attempts import Answer, AttemptRunner, ModelCall
from ._environment import Environment
from ._request_context import RequestContext
from ._router import Router

logger = logging.getLogger("foxtailsaddle.groups")

POLL_INTERVAL_S = 0.25
RESERVE_RETRY_PAUSE_S = (0.2, 0.6)  # bounds of a random pause
MAX_SILENCE_S = 3.0
RETRY_AFTER_S = 5.0


class GroupRunner:
    """Runs attempts on groups of endpoints."""

    def __init__(
        self,
        env: Environment,
        router: Router,
        liveness: Liveness,
        runner: AttemptRunner,
    ) -> None:
        self._env = env
        self._router = router
        self._liveness = liveness
        self._runner = runner

    def fits(self, context: RequestContext, tokens: int) -> bool:
        """Return whether the service's endpoints together can hold this many tokens."""
        endpoints = self._router.endpoints(context.service).values()
        return tokens <= group_capacity(item.capacity_tokens for item in endpoints)

    async def run(
        self, call: ModelCall, context: RequestContext, answer: Answer
    ) -> None:
        """Run the request's current attempt on a group.

        :raises EndpointFailedError: a member failed; carries its id.
        :raises OverloadedError: no group could be reserved in time.
        """
        shares = await self._reserve_in_time(call, context)
        names = ", ".join(f"{share.endpoint}: {share.tokens}" for share in shares)
        context.record("grouped", names)
        try:
            imports = await self._prefill_parts(shares[:-1], call, context)
            context.rank_wait_start = self._env.clock.now()
            await self._runner.run(
                self._router.zero_wait_quote(shares[-1].endpoint),
                call,
                context,
                answer,
                imports=imports,
            )
        finally:
            self._cancel_shares(shares, context)

    async def _reserve_in_time(
        self, call: ModelCall, context: RequestContext
    ) -> list[Share]:
        """Reserve a group, retrying while the prompt can still finish in time."""
        while context.remaining_s > self._min_prefill_s(call, context):
            shares = plan_group(call.held_tokens, self._candidates(context))
            if shares and await self._reserve_all(shares, context):
                return shares
            await trio.sleep(self._env.random.uniform(*RESERVE_RETRY_PAUSE_S))
        raise OverloadedError(
            f"{call.tokens} tokens can't be read in the remaining time",
            retry_after_s=RETRY_AFTER_S,
            verdict=context.verdict,
        )

    async def _reserve_all(self, shares: list[Share], context: RequestContext) -> bool:
        """Reserve all shares in order; release them if one is refused."""
        requested: list[Share] = []
        complete = False
        try:
            for share in shares:
                requested.append(share)
                if not await self._reserve(share, context):
                    return False
            complete = True
            return True
        finally:
            if not complete:
                self._cancel_shares(requested, context)

    async def _reserve(self, share: Share, context: RequestContext) -> bool:
        url = self._url(share)
        try:
            return await self._env.models.reserve(url, context.attempt, share.tokens)
        except FoxtailsaddleError as error:
            self._router.report_failed(share.endpoint)
            context.record("not reserved", f'at "{share.endpoint}": {error.message}')
            return False

    async def _prefill_parts(
        self, shares: list[Share], call: ModelCall, context: RequestContext
    ) -> tuple[KvPart, ...]:
        """Prefill the parts one after another; return their exported KV cache."""
        exported_parts: tuple[KvPart, ...] = ()
        starts = itertools.accumulate((share.tokens for share in shares), initial=0)
        for share, start in zip(shares, starts, strict=False):
            text = _prompt_part(call, start, share.tokens)
            context.strengthen_verdict(Verdict.MAY_HAVE_RUN)
            # Time spent on earlier parts was work, not waiting, so it does not
            # raise the priority.
            context.rank_wait_start = self._env.clock.now()
            placed = self._runner.make_placed(
                share.endpoint, call, context, share.tokens
            )
            self._router.report_placed(placed)
            priority = self._runner.engine_priority(share.tokens, context)
            try:
                await self._prefill(share, text, priority, context, exported_parts)
            finally:
                self._router.report_released(share.endpoint, str(context.attempt))
            part = KvPart(self._url(share), str(context.attempt), share.tokens)
            exported_parts = (*exported_parts, part)
        return exported_parts

    async def _prefill(
        self,
        share: Share,
        text: str,
        priority: float,
        context: RequestContext,
        imports: tuple[KvPart, ...],
    ) -> None:
        """Start the prefill of one part and wait until it has finished."""
        url = self._url(share)
        models = self._env.models
        last_reply_at = self._env.clock.now()
        started = False
        while True:
            try:
                if not started:
                    await models.prefill(url, context.attempt, text, priority, imports)
                    started = True
                state = await models.state(url, context.attempt)
                last_reply_at = self._env.clock.now()
            except FoxtailsaddleError as error:
                if self._env.clock.now() - last_reply_at > MAX_SILENCE_S:
                    raise _member_failed(share, error.message) from error
                state = AttemptState.RUNNING
            if state is AttemptState.FINISHED:
                return
            if state is AttemptState.UNKNOWN:
                raise _member_failed(share, "it no longer knows the attempt")
            await trio.sleep(POLL_INTERVAL_S)

    def _candidates(self, context: RequestContext) -> t.Iterator[Candidate]:
        now = self._env.clock.now()
        for endpoint_id, endpoint in self._router.endpoints(context.service).items():
            queue = self._router.prefill_queue(endpoint_id)
            if endpoint_id in context.failed_endpoints or queue is None:
                continue
            if self._liveness.may_get_work(endpoint_id, now):
                yield Candidate(endpoint_id, endpoint.capacity_tokens, queue.backlog_s)

    def _min_prefill_s(self, call: ModelCall, context: RequestContext) -> float:
        """Return the time to prefill the prompt at the rate of the fastest endpoint."""
        rates = [
            endpoint.prefill_tokens_per_s
            for endpoint in self._router.endpoints(context.service).values()
        ]
        return call.tokens / max(rates)

    def _cancel_shares(self, shares: list[Share], context: RequestContext) -> None:
        for share in shares:
            self._runner.cancel_in_background(self._url(share), context.attempt)

    def _url(self, share: Share) -> str:
        return self._router.find_endpoint(share.endpoint).url


def _prompt_part(call: ModelCall, start: int, tokens: int) -> str:
    """Return the part of the prompt's text that matches these tokens.

    Token positions are converted to characters by the prompt's average number of
    characters per token.
    """
    scale = len(call.prompt) / call.tokens
    return call.prompt[int(start * scale) : int((start + tokens) * scale)]


def _member_failed(share: Share, reason: str) -> EndpointFailedError:
    return EndpointFailedError(
        f'endpoint "{share.endpoint}" failed its part of a group: {reason}',
        verdict=Verdict.MAY_HAVE_RUN,
        endpoint=share.endpoint,
    )
