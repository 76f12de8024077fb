"""Runs one attempt at a model endpoint, through silent connections."""

import dataclasses
import logging
import typing as t

import trio

from ..core import AttemptId, EndpointId, Probe, Quote, length_class, rank_of
from ..errors import (
    EndpointFailedError,
    ExchangeBrokenError,
    FoxtailsaddleError,
    NothingSentError,
)
from ..ports import AttemptState, KvPart, ModelJob, Placed, TokenEvent
from ..verdicts import Verdict
from ._environment import Environment
from ._router import Router
from ._trip import MS_PER_S, Trip

logger = logging.getLogger("foxtailsaddle.attempts")

REATTACH_PAUSE_S = 0.1
CANCEL_TRIES = 3
CANCEL_PAUSE_S = 0.5
NOMINAL_PREFILL_TOKENS_PER_S = 20_000
MAX_REATTACHES_WITHOUT_TOKEN = 100


class Sink(t.Protocol):
    """Takes the tokens of an answer, in order and each once."""

    async def token(self, text: str) -> None:
        """Take one token."""

    async def finish(self, reason: str) -> None:
        """Take the end of a whole answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class ModelCall:
    """A prompt as a caller sent it.

    :param tokens: estimate of the prompt's length.
    :param probes: prefixes of the prompt, to look for in the engines' caches.
    """

    prompt: str
    messages: tuple[dict[str, t.Any], ...]
    options: t.Mapping[str, t.Any]
    max_tokens: int
    tokens: int
    probes: tuple[Probe, ...] = ()

    @property
    def held_tokens(self) -> int:
        """Tokens of KV cache that the call may come to hold."""
        return self.tokens + self.max_tokens


@dataclasses.dataclass(slots=True)
class Answer:
    """The part of an answer that has reached the sink."""

    sink: Sink
    count: int = 0
    text: list[str] = dataclasses.field(default_factory=list)
    finished: bool = False


class AttemptRunner:
    """Runs attempts, and cancels at the endpoint what did not finish."""

    def __init__(
        self,
        env: Environment,
        router: Router,
        background: trio.Nursery,
    ) -> None:
        self._env = env
        self._router = router
        self._background = background

    async def run(
        self,
        quote: Quote,
        call: ModelCall,
        trip: Trip,
        answer: Answer,
        imports: tuple[KvPart, ...] = (),
    ) -> None:
        """Run the trip's current attempt at the quoted endpoint.

        :param imports: KV of the prompt's first parts, that other engines hold.
        :raises EndpointFailedError: with the verdict of this attempt.
        """
        attempt = trip.attempt
        url = self._router.find(quote.endpoint).url
        imported_tokens = sum(part.tokens for part in imports)
        own_tokens = call.tokens - imported_tokens - quote.cached_tokens
        self._router.place(self.placed(quote.endpoint, call, trip, own_tokens))
        job = self._job(call, trip, own_tokens, imports)
        reached = True
        try:
            await self._stream_whole(quote, url, job, trip, answer)
        except NothingSentError as error:
            reached = False
            raise EndpointFailedError(
                f'endpoint "{quote.endpoint}" was not reached: {error.message}',
                endpoint=quote.endpoint,
            ) from error
        except EndpointFailedError as error:
            error.endpoint = quote.endpoint
            raise
        finally:
            self._router.release(quote.endpoint, str(attempt))
            if reached and not answer.finished:
                self.cancel_later(url, attempt)

    def cancel_later(self, url: str, attempt: AttemptId) -> None:
        """Free what an endpoint holds under an attempt, in the background."""
        self._background.start_soon(self._cancel, url, attempt)

    async def _stream_whole(
        self, quote: Quote, url: str, job: ModelJob, trip: Trip, answer: Answer
    ) -> None:
        """Stream until the answer is whole, reattaching after silence."""
        idle = 0
        first = True
        while not answer.finished:
            before = answer.count
            try:
                await self._stream_once(quote, url, job, trip, answer)
            except ExchangeBrokenError as error:
                await self._ask_after(quote, url, trip, error)
            except NothingSentError as error:
                if first:
                    raise
                await self._ask_after(quote, url, trip, error)
            first = False
            idle = 0 if answer.count > before else idle + 1
            if idle:
                await trio.sleep(REATTACH_PAUSE_S)
            if idle > MAX_REATTACHES_WITHOUT_TOKEN:
                raise _lost(quote.endpoint, "no token after many reattaches")

    async def _stream_once(
        self, quote: Quote, url: str, job: ModelJob, trip: Trip, answer: Answer
    ) -> None:
        job = dataclasses.replace(
            job, resume_from=answer.count, resume_text="".join(answer.text)
        )
        stream = self._env.models.stream(url, trip.attempt, job, trip.policy.stall_s)
        before = trip.verdict
        # A cancelled stream may have been written, so the verdict says so first.
        trip.raise_verdict(Verdict.MAY_HAVE_RUN)
        try:
            async with stream as events:
                async for event in events:
                    await self._take(event, quote.endpoint, trip, answer)
                    if answer.finished:
                        return
        except (NothingSentError, EndpointFailedError) as error:
            if error.verdict is Verdict.NOT_RUN:
                trip.verdict = before
            raise
        raise ExchangeBrokenError("the stream ended before the answer was whole")

    async def _take(
        self,
        event: TokenEvent,
        endpoint: EndpointId,
        trip: Trip,
        answer: Answer,
    ) -> None:
        """Pass one event on, if it is the next of this answer."""
        if event.offset < answer.count:
            return
        if event.offset > answer.count:
            raise ExchangeBrokenError(
                f"token {answer.count} is missing, {event.offset} came"
            )
        if event.finish_reason is not None:
            trip.raise_verdict(Verdict.RAN)
            answer.finished = True
            await answer.sink.finish(event.finish_reason)
            return
        if answer.count == 0:
            self._note_first_token(endpoint, trip)
        answer.count += 1
        answer.text.append(event.text)
        await answer.sink.token(event.text)

    def _note_first_token(self, endpoint: EndpointId, trip: Trip) -> None:
        self._router.prefilled(endpoint, str(trip.attempt))
        label = length_class(trip.tokens)
        self._env.metrics.ttft.observe({"length": label}, trip.waited_s)
        trip.note("first token", f'from endpoint "{endpoint}"')

    async def _ask_after(
        self, quote: Quote, url: str, trip: Trip, error: FoxtailsaddleError
    ) -> None:
        """Return when the attempt still runs, so that it can be resumed.

        :raises EndpointFailedError: the endpoint has lost it or is gone.
        """
        trip.note("ask after attempt", error.message)
        try:
            state = await self._env.models.state(url, trip.attempt)
        except NothingSentError as gone:
            if gone.refused:
                self._suspect(quote, trip)
            raise _lost(quote.endpoint, gone.message) from gone
        except FoxtailsaddleError as silent:
            raise _lost(quote.endpoint, silent.message) from silent
        if state is AttemptState.UNKNOWN:
            if await self._has_restarted(quote, url):
                self._suspect(quote, trip)
            raise _lost(quote.endpoint, "it does not know the attempt any more")

    async def _has_restarted(self, quote: Quote, url: str) -> bool:
        try:
            report = await self._env.models.load(url)
        except FoxtailsaddleError:
            return False
        return report.incarnation != quote.incarnation

    def _suspect(self, quote: Quote, trip: Trip) -> None:
        trip.suspect = True
        trip.death = f"{quote.endpoint}/{quote.incarnation}"
        trip.note("suspected", f'endpoint "{quote.endpoint}" died under it')

    async def _cancel(self, url: str, attempt: AttemptId) -> None:
        """Free the endpoint's memory; the reaper does what this can't."""
        for _ in range(CANCEL_TRIES):
            try:
                await self._env.models.cancel(url, str(attempt))
                return
            except FoxtailsaddleError:
                await trio.sleep(CANCEL_PAUSE_S)
        logger.info("attempts: cancel not confirmed", extra={"attempt": str(attempt)})

    def placed(
        self, endpoint: EndpointId, call: ModelCall, trip: Trip, tokens: int
    ) -> Placed:
        """Return the placement of ``tokens`` of a call's prompt."""
        return Placed(
            endpoint=endpoint,
            attempt=str(trip.attempt),
            prompt_tokens=tokens,
            held_tokens=tokens + call.max_tokens,
            waited_s=trip.ranked_wait_s,
            left_s=trip.left_s,
            suspect=trip.suspect,
        )

    def priority(self, tokens: int, trip: Trip) -> float:
        """Return the engine priority: the rank, on the common wall clock."""
        arrived_at = self._env.clock.wall_ms() / MS_PER_S - trip.ranked_wait_s
        return rank_of(arrived_at, tokens, NOMINAL_PREFILL_TOKENS_PER_S)

    def _job(
        self,
        call: ModelCall,
        trip: Trip,
        own_tokens: int,
        imports: tuple[KvPart, ...],
    ) -> ModelJob:
        return ModelJob(
            model=trip.service,
            prompt=call.prompt,
            messages=call.messages,
            options=call.options,
            max_tokens=call.max_tokens,
            priority=self.priority(own_tokens, trip),
            salt=trip.account,
            imports=imports,
        )


def _lost(endpoint: EndpointId, why: str) -> EndpointFailedError:
    return EndpointFailedError(
        f'endpoint "{endpoint}" failed: {why}', verdict=Verdict.MAY_HAVE_RUN
    )
