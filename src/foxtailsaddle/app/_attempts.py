"""Runs one attempt at a model endpoint, resuming it after broken connections."""

import dataclasses
import logging
import typing as t

import trio

from .._tasks import log_unexpected
from ..core import (
    AttemptId,
    EndpointId,
    Probe,
    PromptPartId,
    Quote,
    length_class,
    prompt_rank,
)
from ..errors import (
    EndpointFailedError,
    ExchangeBrokenError,
    FoxtailsaddleError,
    NothingSentError,
)
from ..ports import AttemptState, GenerationRequest, KvPart, Placed, TokenEvent
from ..verdicts import Verdict
from ._environment import Environment
from ._request_context import MS_PER_S, RequestContext
from ._router import Router

logger = logging.getLogger("foxtailsaddle.attempts")

REATTACH_PAUSE_S = 0.1
MAX_CANCEL_ATTEMPTS = 3
CANCEL_PAUSE_S = 0.5
NOMINAL_PREFILL_TOKENS_PER_S = 20_000
MAX_REATTACHES_WITHOUT_TOKEN = 100


class Sink(t.Protocol):
    """Receives the tokens of an answer, in order and each exactly once."""

    async def token(self, text: str) -> None:
        """Receive one token."""

    async def finish(self, reason: str) -> None:
        """Receive the end of a complete answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class ModelCall:
    """A prompt as a caller sent it.

    :param tokens: estimated length of the prompt.
    :param probes: prefixes of the prompt, to look up in the engines' caches.
    :param parts: the parts of the prompt that other requests may share.
    """

    prompt: str
    messages: tuple[dict[str, t.Any], ...]
    options: t.Mapping[str, t.Any]
    max_tokens: int
    tokens: int
    probes: tuple[Probe, ...] = ()
    parts: tuple[PromptPartId, ...] = ()

    @property
    def held_tokens(self) -> int:
        """Most tokens of KV cache that the call can occupy: prompt and output."""
        return self.tokens + self.max_tokens


@dataclasses.dataclass(slots=True)
class Answer:
    """The part of an answer that has reached the sink."""

    sink: Sink
    token_count: int = 0
    texts: list[str] = dataclasses.field(default_factory=list)
    finished: bool = False


class AttemptRunner:
    """Runs attempts, and cancels unfinished ones at the endpoint."""

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
        context: RequestContext,
        answer: Answer,
        imports: tuple[KvPart, ...] = (),
    ) -> None:
        """Run the request's current attempt at the quoted endpoint.

        :param imports: KV cache of the prompt's first parts, exported by other
            engines.
        :raises EndpointFailedError: with the verdict of this attempt.
        """
        attempt = context.attempt
        url = self._router.find_endpoint(quote.endpoint).url
        imported_tokens = sum(part.tokens for part in imports)
        tokens_to_prefill = call.tokens - imported_tokens - quote.cached_tokens
        self._router.report_placed(
            self.make_placed(quote.endpoint, call, context, tokens_to_prefill)
        )
        job = self._make_job(call, context, tokens_to_prefill, imports)
        was_reached = True
        try:
            await self._stream_until_complete(quote, url, job, context, answer)
        except NothingSentError as error:
            was_reached = False
            raise EndpointFailedError(
                f'endpoint "{quote.endpoint}" was not reached: {error.message}',
                endpoint=quote.endpoint,
            ) from error
        except EndpointFailedError as error:
            error.endpoint = quote.endpoint
            raise
        finally:
            self._router.report_released(quote.endpoint, str(attempt))
            if was_reached and not answer.finished:
                self.cancel_in_background(url, attempt)

    def cancel_in_background(self, url: str, attempt: AttemptId) -> None:
        """Cancel an attempt at its endpoint, in the background."""
        self._background.start_soon(log_unexpected, self._cancel, url, attempt)

    async def _stream_until_complete(
        self,
        quote: Quote,
        url: str,
        job: GenerationRequest,
        context: RequestContext,
        answer: Answer,
    ) -> None:
        """Stream until the answer is complete, reattaching after a broken stream."""
        reattaches_without_token = 0
        is_first_stream = True
        while not answer.finished:
            previous_count = answer.token_count
            try:
                await self._stream_once(quote, url, job, context, answer)
            except ExchangeBrokenError as error:
                await self._check_still_running(quote, url, context, error)
            except NothingSentError as error:
                if is_first_stream:
                    raise
                await self._check_still_running(quote, url, context, error)
            is_first_stream = False
            reattaches_without_token = (
                0
                if answer.token_count > previous_count
                else reattaches_without_token + 1
            )
            if reattaches_without_token:
                await trio.sleep(REATTACH_PAUSE_S)
            if reattaches_without_token > MAX_REATTACHES_WITHOUT_TOKEN:
                raise _attempt_lost(
                    quote.endpoint, "no token after repeated reattaching"
                )

    async def _stream_once(
        self,
        quote: Quote,
        url: str,
        job: GenerationRequest,
        context: RequestContext,
        answer: Answer,
    ) -> None:
        job = dataclasses.replace(
            job, resume_from=answer.token_count, resume_text="".join(answer.texts)
        )
        stream = self._env.models.stream(
            url, context.attempt, job, context.policy.stall_s
        )
        previous_verdict = context.verdict
        # If this task is cancelled during the stream, the request may have been
        # sent, so the verdict is strengthened beforehand.
        context.strengthen_verdict(Verdict.MAY_HAVE_RUN)
        try:
            async with stream as events:
                async for event in events:
                    await self._accept_event(event, quote.endpoint, context, answer)
                    if answer.finished:
                        return
        except (NothingSentError, EndpointFailedError) as error:
            if error.verdict is Verdict.NOT_RUN:
                context.verdict = previous_verdict
            raise
        raise ExchangeBrokenError("the stream ended before the answer was complete")

    async def _accept_event(
        self,
        event: TokenEvent,
        endpoint: EndpointId,
        context: RequestContext,
        answer: Answer,
    ) -> None:
        """Forward an event to the sink if it is the next one of this answer."""
        if event.offset < answer.token_count:
            return
        if event.offset > answer.token_count:
            raise ExchangeBrokenError(
                f"expected token {answer.token_count}, received {event.offset}"
            )
        if event.finish_reason is not None:
            context.strengthen_verdict(Verdict.RAN)
            answer.finished = True
            await answer.sink.finish(event.finish_reason)
            return
        if answer.token_count == 0:
            self._record_first_token(endpoint, context)
        answer.token_count += 1
        answer.texts.append(event.text)
        await answer.sink.token(event.text)

    def _record_first_token(
        self, endpoint: EndpointId, context: RequestContext
    ) -> None:
        context.first_token_at = self._env.clock.now()
        self._router.report_prefilled(endpoint, str(context.attempt))
        label = length_class(context.prompt_tokens)
        self._env.metrics.ttft.observe({"length": label}, context.elapsed_s)
        context.record("first token", f'from endpoint "{endpoint}"')

    async def _check_still_running(
        self, quote: Quote, url: str, context: RequestContext, error: FoxtailsaddleError
    ) -> None:
        """Return if the endpoint still knows the attempt, so that it can be resumed.

        :raises EndpointFailedError: the endpoint has lost it or does not answer.
        """
        context.record("ask after attempt", error.message)
        try:
            state = await self._env.models.state(url, context.attempt)
        except NothingSentError as unreachable:
            if unreachable.connection_refused:
                self._record_suspected_death(quote, context)
            raise _attempt_lost(quote.endpoint, unreachable.message) from unreachable
        except FoxtailsaddleError as unanswered:
            raise _attempt_lost(quote.endpoint, unanswered.message) from unanswered
        if state is AttemptState.UNKNOWN:
            if await self._has_restarted(quote, url):
                self._record_suspected_death(quote, context)
            raise _attempt_lost(quote.endpoint, "it no longer knows the attempt")

    async def _has_restarted(self, quote: Quote, url: str) -> bool:
        try:
            report = await self._env.models.load(url)
        except FoxtailsaddleError:
            return False
        return report.incarnation != quote.incarnation

    def _record_suspected_death(self, quote: Quote, context: RequestContext) -> None:
        context.is_suspect = True
        context.last_death = f"{quote.endpoint}/{quote.incarnation}"
        context.record("suspected", f'endpoint "{quote.endpoint}" died under it')

    async def _cancel(self, url: str, attempt: AttemptId) -> None:
        """Cancel an attempt to free the endpoint's memory.

        If this keeps failing, the endpoint poller cancels the attempt later, as an
        orphan.
        """
        for _ in range(MAX_CANCEL_ATTEMPTS):
            try:
                await self._env.models.cancel(url, str(attempt))
                return
            except FoxtailsaddleError:
                await trio.sleep(CANCEL_PAUSE_S)
        logger.info("attempts: cancel not confirmed", extra={"attempt": str(attempt)})

    def make_placed(
        self,
        endpoint: EndpointId,
        call: ModelCall,
        context: RequestContext,
        tokens: int,
    ) -> Placed:
        """Return the placement message for ``tokens`` of a call's prompt."""
        return Placed(
            endpoint=endpoint,
            attempt=str(context.attempt),
            prompt_tokens=tokens,
            held_tokens=tokens + call.max_tokens,
            waited_s=context.rank_wait_s,
            left_s=context.remaining_s,
            suspect=context.is_suspect,
        )

    def engine_priority(self, tokens: int, context: RequestContext) -> float:
        """Return the engine priority: the rank by wall clock time; lower runs first."""
        arrived_at = self._env.clock.wall_ms() / MS_PER_S - context.rank_wait_s
        return prompt_rank(arrived_at, tokens, NOMINAL_PREFILL_TOKENS_PER_S)

    def _make_job(
        self,
        call: ModelCall,
        context: RequestContext,
        tokens_to_prefill: int,
        imports: tuple[KvPart, ...],
    ) -> GenerationRequest:
        return GenerationRequest(
            model=context.service,
            prompt=call.prompt,
            messages=call.messages,
            options=call.options,
            max_tokens=call.max_tokens,
            priority=self.engine_priority(tokens_to_prefill, context),
            cache_salt=context.account,
            kv_imports=imports,
        )


def _attempt_lost(endpoint: EndpointId, reason: str) -> EndpointFailedError:
    return EndpointFailedError(
        f'endpoint "{endpoint}" failed: {reason}', verdict=Verdict.MAY_HAVE_RUN
    )
