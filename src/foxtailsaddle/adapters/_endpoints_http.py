"""Implements the ports to model engines and plain services over HTTP and SSE."""

import contextlib
import dataclasses
import json
import typing as t
import urllib.parse

import sseclient
import trio

from .._input_readers import read_count, read_json, read_number, read_text, reading
from ..core import AttemptId, CacheEvent, EventBuffer, Verdict, short_digest
from ..errors import EndpointFailedError, ExchangeBrokenError
from ..ports import (
    AttemptState,
    GenerationRequest,
    HttpClient,
    HttpRequest,
    HttpResponse,
    KvPart,
    LoadReport,
    PlainCall,
    PlainResponse,
    TokenEvent,
)

QUERY_TIMEOUT_S = 1.0
QUERY_TOTAL_TIMEOUT_S = 5.0
MAX_ATTEMPT_ID_BYTES = 500
STREAM_END_DATA = "[DONE]"
ATTEMPT_HEADER = "x-request-id"
STATE_HEADER = "x-endpoint-state"
NOT_RUN_HEADER = "x-not-run"
PATH_CHARACTERS = "/:@!$&'()*+,;="  # that a path may hold as they are


class HttpModelEndpoints:
    """Client of model engines that offer an OpenAI-style completions API."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    @contextlib.asynccontextmanager
    async def stream(
        self,
        url: str,
        attempt: AttemptId,
        generation: GenerationRequest,
        stall_timeout_s: float,
    ) -> t.AsyncIterator[t.AsyncIterator[TokenEvent]]:
        """Run or resume an attempt and iterate over its tokens."""
        request = HttpRequest(
            "POST",
            f"{url}/v1/chat/completions"
            if generation.messages
            else f"{url}/v1/completions",
            headers={
                "content-type": "application/json",
                ATTEMPT_HEADER: str(attempt),
            },
            body=_encode_generation(generation, attempt),
            idle_timeout_s=stall_timeout_s,
        )
        async with self._client.exchange(request) as response:
            _check_own(response.headers, attempt, url)
            if response.status != 200:
                raise _response_error(url, response, attempt)
            events = _sse_data(response, stall_timeout_s, url)
            yield _token_events(events, str(attempt), url)

    async def state(self, url: str, attempt: AttemptId) -> AttemptState:
        """Ask the engine for the state of an attempt, over a new connection."""
        request = HttpRequest(
            "GET",
            f"{url}/v1/attempts/{attempt}",
            connect_timeout_s=QUERY_TIMEOUT_S,
            idle_timeout_s=QUERY_TIMEOUT_S,
            total_timeout_s=QUERY_TOTAL_TIMEOUT_S,
            new_connection=True,
        )
        async with self._client.exchange(request) as response:
            body = await response.read()
        if response.status == 404:
            return AttemptState.UNKNOWN
        with _reading_response(url):
            return AttemptState(_parse_json(body, url)["state"])

    async def cancel(self, url: str, attempt: str) -> None:
        """Cancel an attempt and free its memory."""
        request = HttpRequest(
            "POST",
            f"{url}/v1/attempts/{attempt}/cancel",
            connect_timeout_s=QUERY_TIMEOUT_S,
            idle_timeout_s=QUERY_TIMEOUT_S,
            total_timeout_s=QUERY_TOTAL_TIMEOUT_S,
            new_connection=True,
        )
        async with self._client.exchange(request) as response:
            await response.read()

    async def reserve(self, url: str, attempt: AttemptId, tokens: int) -> bool:
        """Reserve KV memory for an attempt; return false if not enough is free."""
        status = await self._send_command(
            "PUT", f"{url}/kv/{attempt}", {"tokens": tokens}
        )
        return status == 200

    async def prefill(
        self,
        url: str,
        attempt: AttemptId,
        text: str,
        priority: float,
        imports: tuple[KvPart, ...],
    ) -> None:
        """Start the prefill of a part of a prompt and export its KV cache."""
        body = {
            "prompt": text,
            "priority": priority,
            "kv_imports": [dataclasses.asdict(part) for part in imports],
        }
        status = await self._send_command("POST", f"{url}/kv/{attempt}/prefill", body)
        if status != 202:
            raise EndpointFailedError(
                f'endpoint at "{url}" answered status {status}',
                verdict=Verdict.MAY_HAVE_RUN,
            )

    async def assign_models(
        self, url: str, fencing_token: int, models: tuple[str, ...]
    ) -> bool:
        """Order the engine to load exactly these models; false for an old token."""
        body = {"number": fencing_token, "models": list(models)}
        status = await self._send_command("POST", f"{url}/orders", body)
        if status not in (200, 409):
            raise ExchangeBrokenError(f'endpoint at "{url}" answered status {status}')
        return status == 200

    async def cache_events(self, url: str, after: int) -> list[CacheEvent]:
        """Return the published cache events with a number above ``after``."""
        data = await self._get_json(f"{url}/kv/events?after={after}")
        with _reading_response(url):
            return [
                CacheEvent(number, kind == "stored", short_digest(bytes.fromhex(block)))
                for number, kind, block in data["events"]
            ]

    async def cached_blocks(self, url: str) -> tuple[int, list[int]]:
        """Return the number of the last event and the digests of all cached blocks."""
        data = await self._get_json(f"{url}/kv/blocks")
        with _reading_response(url):
            digests = [short_digest(bytes.fromhex(block)) for block in data["blocks"]]
            return data["head"], digests

    async def _get_json(self, url: str) -> t.Any:
        request = HttpRequest(
            "GET",
            url,
            connect_timeout_s=QUERY_TIMEOUT_S,
            idle_timeout_s=QUERY_TIMEOUT_S,
            total_timeout_s=QUERY_TOTAL_TIMEOUT_S,
        )
        async with self._client.exchange(request) as response:
            body = await response.read()
        if response.status != 200:
            raise ExchangeBrokenError(f'"{url}" answered status {response.status}')
        return _parse_json(body, url)

    async def _send_command(self, method: str, url: str, body: t.Any) -> int:
        request = HttpRequest(
            method,
            url,
            headers={"content-type": "application/json"},
            body=json.dumps(body).encode(),
            connect_timeout_s=QUERY_TIMEOUT_S,
            idle_timeout_s=QUERY_TIMEOUT_S,
            total_timeout_s=QUERY_TOTAL_TIMEOUT_S,
            new_connection=True,
        )
        async with self._client.exchange(request) as response:
            await response.read()
        return response.status

    async def load(self, url: str) -> LoadReport:
        """Return the engine's load report."""
        data = await self._get_json(f"{url}/load")
        with _reading_response(url):
            return _decode_load(data)


def _decode_load(data: dict[str, t.Any]) -> LoadReport:
    remaining = data["remaining_by_attempt"].items()
    cache_head = data.get("cache_head")
    return LoadReport(
        incarnation=read_text(data["incarnation"]),
        leaving=bool(data["leaving"]),
        remaining_tokens_by_attempt={
            read_text(attempt, MAX_ATTEMPT_ID_BYTES): read_number(tokens)
            for attempt, tokens in remaining
        },
        held_tokens=read_count(data["held_tokens"]),
        age_s=read_number(data["age_s"]),
        models=tuple(read_text(model) for model in data.get("models", ())),
        cache_head=None if cache_head is None else read_count(cache_head),
    )


class HttpPlainEndpoints:
    """Client of plain HTTP services."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def call(
        self, url: str, call: PlainCall, idle_timeout_s: float
    ) -> PlainResponse:
        """Make one call and return the complete response."""
        request = HttpRequest(
            call.method,
            f"{url}/{urllib.parse.quote(call.path, safe=PATH_CHARACTERS)}",
            headers={
                "content-type": call.content_type,
                ATTEMPT_HEADER: str(call.attempt),
            },
            body=call.body,
            idle_timeout_s=idle_timeout_s,
            new_connection=call.new_connection,
        )
        async with self._client.exchange(request) as response:
            _check_own(response.headers, call.attempt, url)
            body = await response.read(call.take_room)
        verdict = Verdict.RAN
        if NOT_RUN_HEADER in response.headers:
            verdict = _refusal_verdict(response.headers, call.attempt)
        if verdict is Verdict.MAY_HAVE_RUN:
            raise ExchangeBrokenError(
                f'endpoint at "{url}" refused without the id of the request'
            )
        return PlainResponse(
            status=response.status,
            content_type=response.headers.get("content-type", ""),
            body=body,
            verdict=verdict,
        )

    async def health(self, url: str) -> tuple[str, bool]:
        """Return the endpoint's incarnation and whether it is leaving."""
        request = HttpRequest(
            "GET",
            f"{url}/healthz",
            connect_timeout_s=QUERY_TIMEOUT_S,
            idle_timeout_s=QUERY_TIMEOUT_S,
            total_timeout_s=QUERY_TOTAL_TIMEOUT_S,
        )
        async with self._client.exchange(request) as response:
            data = _parse_json(await response.read(), url)
        with _reading_response(url):
            return read_text(data["incarnation"]), bool(data["leaving"])


def _encode_generation(generation: GenerationRequest, attempt: AttemptId) -> bytes:
    content = (
        {"messages": generation.messages}
        if generation.messages
        else {"prompt": generation.prompt}
    )
    return json.dumps(
        {
            **generation.options,
            **content,
            "model": generation.model,
            "max_tokens": generation.max_tokens,
            "stream": True,
            "priority": generation.priority,
            "cache_salt": generation.cache_salt,
            "kv_imports": [dataclasses.asdict(part) for part in generation.kv_imports],
            "resume_from": generation.resume_from,
            "resume_text": generation.resume_text,
            "deadline_ms": attempt.deadline_ms,
        }
    ).encode()


def _check_own(headers: t.Mapping[str, str], attempt: AttemptId, url: str) -> None:
    """Check that a response is not the one to an earlier request.

    :raises ExchangeBrokenError: it names another attempt.
    """
    named = headers.get(ATTEMPT_HEADER, "")
    if named and named != str(attempt):
        raise ExchangeBrokenError(
            f'endpoint at "{url}" sent the response to another request'
        )


def _refusal_verdict(headers: t.Mapping[str, str], attempt: AttemptId) -> Verdict:
    """Return what a refusal proves: nothing, unless it names the attempt.

    An earlier refusal may arrive once more on a connection that is used again.
    """
    is_own = headers.get(ATTEMPT_HEADER) == str(attempt)
    return Verdict.NOT_RUN if is_own else Verdict.MAY_HAVE_RUN


def _response_error(
    url: str, response: HttpResponse, attempt: AttemptId
) -> EndpointFailedError:
    """Return the error for a response that is not a stream.

    Only a header from the endpoint itself proves that the request did not run.
    """
    verdict = Verdict.MAY_HAVE_RUN
    if NOT_RUN_HEADER in response.headers:
        verdict = _refusal_verdict(response.headers, attempt)
    return EndpointFailedError(
        f'endpoint at "{url}" answered status {response.status}', verdict=verdict
    )


async def _token_events(
    events: t.AsyncIterator[str], attempt: str, url: str
) -> t.AsyncIterator[TokenEvent]:
    """Iterate over the tokens of one attempt; ignore those of other attempts.

    :raises ExchangeBrokenError: the stream ended without its final event.
    """
    async for data in events:
        if data == STREAM_END_DATA:
            return
        with _reading_response(url):
            event = _decode_token_event(_parse_json(data, url), attempt)
        if event is not None:
            yield event
    raise ExchangeBrokenError(f'stream of "{url}" ended before its final event')


def _decode_token_event(chunk: t.Any, attempt: str) -> TokenEvent | None:
    """Return the token in a chunk, or ``None`` if it belongs to another attempt."""
    if chunk["id"] != attempt:
        return None
    choice = chunk["choices"][0]
    text = choice["delta"]["content"] if "delta" in choice else choice["text"]
    return TokenEvent(chunk["offset"], text, choice["finish_reason"])


async def _sse_data(
    response: HttpResponse, stall_timeout_s: float, url: str
) -> t.AsyncIterator[str]:
    """Iterate over the data of the server-sent events in a response.

    :raises ExchangeBrokenError: only a part of an event came in ``stall_timeout_s``.
    """
    buffer = EventBuffer()
    silent_since = trio.current_time()
    async with contextlib.aclosing(response.chunks()) as chunks:
        async for chunk in chunks:
            complete_events = buffer.feed(chunk)
            if complete_events:
                for event in sseclient.SSEClient(iter([complete_events])).events():
                    yield event.data
                silent_since = trio.current_time()
            elif trio.current_time() - silent_since > stall_timeout_s:
                raise ExchangeBrokenError(
                    f'"{url}" sent no whole event in {stall_timeout_s} s'
                )


def _reading_response(url: str) -> contextlib.AbstractContextManager[None]:
    return reading(f'response of "{url}"', ExchangeBrokenError)


def _parse_json(data: bytes | str, url: str) -> t.Any:
    with _reading_response(url):
        return read_json(data)
