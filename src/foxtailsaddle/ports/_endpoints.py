"""Ports to model engines and plain services."""

import contextlib
import dataclasses
import typing as t
from enum import Enum

from ..core import AttemptId, CacheEvent, Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class KvPart:
    """KV cache of a part of a prompt, exported at one engine for others.

    :param url: of the engine that holds it.
    :param name: under which it holds it: the attempt's.
    """

    url: str
    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class ModelJob:
    """What an engine is asked to generate.

    :param prompt: the text; for a chat, its messages' texts for the estimate.
    :param messages: the messages of a chat, else empty.
    :param options: sampling options, passed on as they came.
    :param imports: KV of the prompt's first parts, in order, to be imported.
    :param resume_from: tokens that the caller already has.
    :param resume_text: the text of those tokens.
    :param priority: lower runs first.
    :param salt: keeps cached prefixes of client accounts apart.
    """

    model: str
    prompt: str
    messages: tuple[dict[str, t.Any], ...]
    options: t.Mapping[str, t.Any]
    max_tokens: int
    priority: float
    salt: str
    imports: tuple[KvPart, ...] = ()
    resume_from: int = 0
    resume_text: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TokenEvent:
    """One token of a stream, or its end when ``finish_reason`` is set."""

    offset: int
    text: str
    finish_reason: str | None = None


class AttemptState(Enum):
    """What an engine says of an attempt that it is asked after."""

    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """An engine's own, lagging, report.

    :param remaining_by_attempt: prefill tokens left, of every held attempt.
    :param models: that are loaded.
    :param cache_head: number of the last published cache event, if it tells.
    :param age_s: age of the report when it was sent, in seconds.
    """

    incarnation: str
    leaving: bool
    remaining_by_attempt: dict[str, float]
    held_tokens: int
    age_s: float
    models: tuple[str, ...] = ()
    cache_head: int | None = None


class ModelEndpoints(t.Protocol):
    """Speaks to model engines."""

    def stream(
        self, url: str, attempt: AttemptId, job: ModelJob, stall_s: float
    ) -> contextlib.AbstractAsyncContextManager[t.AsyncIterator[TokenEvent]]:
        """Run or resume an attempt and iterate over its tokens.

        :raises NothingSentError: the engine was not reached.
        :raises EndpointFailedError: the engine refused or broke off; carries
            the verdict.
        """

    async def state(self, url: str, attempt: AttemptId) -> AttemptState:
        """Ask over a new connection what became of an attempt.

        :raises FoxtailsaddleError: the engine did not answer.
        """

    async def cancel(self, url: str, attempt: str) -> None:
        """Cancel an attempt and free its memory.

        :raises FoxtailsaddleError: the engine did not answer.
        """

    async def reserve(self, url: str, attempt: AttemptId, tokens: int) -> bool:
        """Reserve KV memory for an attempt; false when there is no room.

        :raises FoxtailsaddleError: the engine did not answer.
        """

    async def prefill(
        self,
        url: str,
        attempt: AttemptId,
        text: str,
        priority: float,
        imports: tuple[KvPart, ...],
    ) -> None:
        """Start the prefill of a part of a prompt, and export its KV.

        The part goes into memory that was reserved under the attempt's name.

        Asking again for the same attempt starts nothing anew.

        :raises FoxtailsaddleError: the engine did not answer.
        """

    async def order(self, url: str, number: int, models: tuple[str, ...]) -> bool:
        """Order the engine to have these models; false for an old number.

        :raises FoxtailsaddleError: the engine did not answer.
        """

    async def cache_events(self, url: str, after: int) -> list[CacheEvent]:
        """Return the published cache events behind a number.

        :raises FoxtailsaddleError: the engine did not answer.
        """

    async def cached_blocks(self, url: str) -> tuple[int, list[int]]:
        """Return the last event's number and the digests of all cached blocks.

        :raises FoxtailsaddleError: the engine did not answer.
        """

    async def load(self, url: str) -> LoadReport:
        """Return the engine's report.

        :raises FoxtailsaddleError: the engine did not answer.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class PlainCall:
    """One call of a plain service."""

    method: str
    path: str
    content_type: str
    body: bytes
    attempt: AttemptId
    fresh: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PlainAnswer:
    """The answer of a plain service, passed on as it is."""

    status: int
    content_type: str
    body: bytes
    verdict: Verdict


class PlainEndpoints(t.Protocol):
    """Speaks to plain services."""

    async def call(self, url: str, call: PlainCall, idle_s: float) -> PlainAnswer:
        """Make one call.

        :raises NothingSentError: no byte was written.
        :raises ExchangeBrokenError: the call may have run.
        """

    async def health(self, url: str) -> tuple[str, bool]:
        """Return the endpoint's incarnation and whether it is leaving.

        :raises FoxtailsaddleError: the endpoint did not answer.
        """
