"""Ports to model engines and plain HTTP services."""

import contextlib
import dataclasses
import typing as t
from enum import Enum

from ..core import AttemptId, CacheEvent, Verdict
from ._http import TakeRoom, take_nothing


@dataclasses.dataclass(frozen=True, slots=True)
class KvPart:
    """KV cache of a part of a prompt that one engine exports to others.

    :param url: URL of the engine that has the part in its memory.
    :param name: key of the part at that engine: the id of the attempt that
        prefilled it.
    :param tokens: length of the part.
    """

    url: str
    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationRequest:
    """A generation request to a model engine.

    :param prompt: the text to complete; for a chat, the text of its messages,
        which is used only to estimate the length.
    :param messages: the messages of a chat, otherwise empty.
    :param options: sampling options, passed on unchanged.
    :param priority: lower values run first.
    :param cache_salt: separates the cached prefixes of different client accounts.
    :param kv_imports: KV cache of the first parts of the prompt, in order, that
        the engine imports instead of computing it.
    :param resume_from: number of tokens that the caller already has.
    :param resume_text: the text of those tokens.
    """

    model: str
    prompt: str
    messages: tuple[dict[str, t.Any], ...]
    options: t.Mapping[str, t.Any]
    max_tokens: int
    priority: float
    cache_salt: str
    kv_imports: tuple[KvPart, ...] = ()
    resume_from: int = 0
    resume_text: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TokenEvent:
    """One token of a stream, or the end of the stream if ``finish_reason`` is set.

    :param offset: position of the token in the output.
    """

    offset: int
    text: str
    finish_reason: str | None = None


class AttemptState(Enum):
    """State of an attempt, as its engine reports it."""

    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """An engine's report of its own load; it lags behind the real load.

    :param leaving: the engine is shutting down.
    :param remaining_tokens_by_attempt: prefill tokens still to compute, for each
        attempt that the engine has accepted and not finished.
    :param held_tokens: KV memory in use or reserved, in tokens.
    :param age_s: age of the report when it was sent, in seconds.
    :param models: the loaded models.
    :param cache_head: number of the last published cache event; ``None`` if the
        engine does not report it.
    """

    incarnation: str
    leaving: bool
    remaining_tokens_by_attempt: dict[str, float]
    held_tokens: int
    age_s: float
    models: tuple[str, ...] = ()
    cache_head: int | None = None


class ModelEndpoints(t.Protocol):
    """Client of the model engines."""

    def stream(
        self,
        url: str,
        attempt: AttemptId,
        generation: GenerationRequest,
        stall_timeout_s: float,
    ) -> contextlib.AbstractAsyncContextManager[t.AsyncIterator[TokenEvent]]:
        """Run or resume an attempt and iterate over its tokens.

        :param stall_timeout_s: longest silence between two tokens, in seconds.
        :raises NothingSentError: no connection to the engine was made.
        :raises EndpointFailedError: the engine refused the request or the
            connection broke; its verdict says whether the attempt may have run.
        """

    async def state(self, url: str, attempt: AttemptId) -> AttemptState:
        """Ask the engine for the state of an attempt, over a new connection.

        :raises FoxtailsaddleError: the engine did not answer.
        """

    async def cancel(self, url: str, attempt: str) -> None:
        """Cancel an attempt and free its memory.

        :raises FoxtailsaddleError: the engine did not answer.
        """

    async def reserve(self, url: str, attempt: AttemptId, tokens: int) -> bool:
        """Reserve KV memory for an attempt; return false if not enough is free.

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
        """Start the prefill of a part of a prompt and export its KV cache.

        The part is stored in the memory that was reserved for the attempt. The
        call is idempotent: a repetition for the same attempt has no effect.

        :raises FoxtailsaddleError: the engine did not answer.
        """

    async def assign_models(
        self, url: str, fencing_token: int, models: tuple[str, ...]
    ) -> bool:
        """Order the engine to load exactly these models.

        Return false if the engine has already seen an order with a higher
        ``fencing_token``, so that a delayed order can't undo a newer one.

        :raises FoxtailsaddleError: the engine did not answer.
        """

    async def cache_events(self, url: str, after: int) -> list[CacheEvent]:
        """Return the published cache events with a number above ``after``.

        :raises FoxtailsaddleError: the engine did not answer.
        """

    async def cached_blocks(self, url: str) -> tuple[int, list[int]]:
        """Return the number of the last event and the digests of all cached blocks.

        :raises FoxtailsaddleError: the engine did not answer.
        """

    async def load(self, url: str) -> LoadReport:
        """Return the engine's load report.

        :raises FoxtailsaddleError: the engine did not answer.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class PlainCall:
    """One call to a plain HTTP service.

    :param new_connection: use a new connection, because a kept one may be dead.
    :param take_room: takes room for each part of the answer.
    """

    method: str
    path: str
    content_type: str
    body: bytes
    attempt: AttemptId
    new_connection: bool
    take_room: TakeRoom = take_nothing


@dataclasses.dataclass(frozen=True, slots=True)
class PlainResponse:
    """The response of a plain HTTP service, passed on unchanged."""

    status: int
    content_type: str
    body: bytes
    verdict: Verdict


class PlainEndpoints(t.Protocol):
    """Client of the plain HTTP services."""

    async def call(
        self, url: str, call: PlainCall, idle_timeout_s: float
    ) -> PlainResponse:
        """Make one call.

        :param idle_timeout_s: longest silence while writing or reading, in seconds.
        :raises NothingSentError: no byte was written.
        :raises ExchangeBrokenError: the call may have run.
        """

    async def health(self, url: str) -> tuple[str, bool]:
        """Return the endpoint's incarnation and whether it is leaving.

        :raises FoxtailsaddleError: the endpoint did not answer.
        """
