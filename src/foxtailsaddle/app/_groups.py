"""Runs a prompt that is larger than one engine on a group of them.

Every member's memory is reserved first, all or nothing. Each member but the
last prefills its part of the prompt on top of the parts before it; the last
one imports them and generates. What was reserved is freed on every path.
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
from ._router import Router
from ._trip import Trip

logger = logging.getLogger("foxtailsaddle.groups")

POLL_S = 0.25
PAUSE_S = (0.2, 0.6)
SILENCE_S = 3.0
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

    def holds(self, trip: Trip, tokens: int) -> bool:
        """Return whether all endpoints of the service together could hold it."""
        endpoints = self._router.endpoints(trip.service).values()
        return tokens <= group_capacity(item.capacity_tokens for item in endpoints)

    async def run(self, call: ModelCall, trip: Trip, answer: Answer) -> None:
        """Run the trip's current attempt on a group.

        :raises EndpointFailedError: a member failed; names it.
        :raises OverloadedError: no group came free in time.
        """
        shares = await self._reserve_in_time(call, trip)
        names = ", ".join(f"{share.endpoint}: {share.tokens}" for share in shares)
        trip.note("grouped", names)
        try:
            imports = await self._prefill_parts(shares[:-1], call, trip)
            trip.ranked_from = self._env.clock.now()
            await self._runner.run(
                self._router.unranked_quote(shares[-1].endpoint),
                call,
                trip,
                answer,
                imports=imports,
            )
        finally:
            self._free(shares, trip)

    async def _reserve_in_time(self, call: ModelCall, trip: Trip) -> list[Share]:
        """Reserve a group, trying until the prompt could not finish in time."""
        while trip.left_s > self._own_s(call, trip):
            shares = plan_group(call.held_tokens, self._candidates(trip))
            if shares and await self._reserve_all(shares, trip):
                return shares
            await trio.sleep(self._env.random.uniform(*PAUSE_S))
        raise OverloadedError(
            f"{call.tokens} tokens can't be read in the time that is left",
            retry_after_s=RETRY_AFTER_S,
            verdict=trip.verdict,
        )

    async def _reserve_all(self, shares: list[Share], trip: Trip) -> bool:
        """Reserve every share in order, or none."""
        taken: list[Share] = []
        whole = False
        try:
            for share in shares:
                taken.append(share)
                if not await self._reserve(share, trip):
                    return False
            whole = True
            return True
        finally:
            if not whole:
                self._free(taken, trip)

    async def _reserve(self, share: Share, trip: Trip) -> bool:
        url = self._url(share)
        try:
            return await self._env.models.reserve(url, trip.attempt, share.tokens)
        except FoxtailsaddleError as error:
            self._router.failed(share.endpoint)
            trip.note("not reserved", f'at "{share.endpoint}": {error.message}')
            return False

    async def _prefill_parts(
        self, shares: list[Share], call: ModelCall, trip: Trip
    ) -> tuple[KvPart, ...]:
        """Prefill the parts one after another; return their exported KV."""
        done: tuple[KvPart, ...] = ()
        starts = itertools.accumulate((share.tokens for share in shares), initial=0)
        for share, start in zip(shares, starts, strict=False):
            text = _slice(call, start, share.tokens)
            trip.raise_verdict(Verdict.MAY_HAVE_RUN)
            # Parts before this one were work, not waiting, and age nothing.
            trip.ranked_from = self._env.clock.now()
            placed = self._runner.placed(share.endpoint, call, trip, share.tokens)
            self._router.place(placed)
            priority = self._runner.priority(share.tokens, trip)
            try:
                await self._prefill(share, text, priority, trip, done)
            finally:
                self._router.release(share.endpoint, str(trip.attempt))
            part = KvPart(self._url(share), str(trip.attempt), share.tokens)
            done = (*done, part)
        return done

    async def _prefill(
        self,
        share: Share,
        text: str,
        priority: float,
        trip: Trip,
        imports: tuple[KvPart, ...],
    ) -> None:
        """Start one part and wait until it is done."""
        url = self._url(share)
        models = self._env.models
        heard_at = self._env.clock.now()
        started = False
        while True:
            try:
                if not started:
                    await models.prefill(url, trip.attempt, text, priority, imports)
                    started = True
                state = await models.state(url, trip.attempt)
                heard_at = self._env.clock.now()
            except FoxtailsaddleError as error:
                if self._env.clock.now() - heard_at > SILENCE_S:
                    raise _member_lost(share, error.message) from error
                state = AttemptState.RUNNING
            if state is AttemptState.FINISHED:
                return
            if state is AttemptState.UNKNOWN:
                raise _member_lost(share, "it does not know the attempt any more")
            await trio.sleep(POLL_S)

    def _candidates(self, trip: Trip) -> t.Iterator[Candidate]:
        now = self._env.clock.now()
        for endpoint_id, endpoint in self._router.endpoints(trip.service).items():
            book = self._router.book(endpoint_id)
            if endpoint_id in trip.failed or book is None:
                continue
            if self._liveness.may_get_work(endpoint_id, now):
                yield Candidate(endpoint_id, endpoint.capacity_tokens, book.backlog_s)

    def _own_s(self, call: ModelCall, trip: Trip) -> float:
        rates = [
            endpoint.prefill_tokens_per_s
            for endpoint in self._router.endpoints(trip.service).values()
        ]
        return call.tokens / max(rates)

    def _free(self, shares: list[Share], trip: Trip) -> None:
        for share in shares:
            self._runner.cancel_later(self._url(share), trip.attempt)

    def _url(self, share: Share) -> str:
        return self._router.find(share.endpoint).url


def _slice(call: ModelCall, start: int, tokens: int) -> str:
    """Return the part of the prompt's text that stands for these tokens."""
    scale = len(call.prompt) / call.tokens
    return call.prompt[int(start * scale) : int((start + tokens) * scale)]


def _member_lost(share: Share, why: str) -> EndpointFailedError:
    return EndpointFailedError(
        f'endpoint "{share.endpoint}" failed its part of a group: {why}',
        verdict=Verdict.MAY_HAVE_RUN,
        endpoint=share.endpoint,
    )
