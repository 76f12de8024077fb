"""Ports to model engines and plain services, over HTTP and SSE."""

import contextlib
import dataclasses
import json
import typing as t

import sseclient

from ..core import AttemptId, CacheEvent, Verdict, short_digest
from ..errors import EndpointFailedError, ExchangeBrokenError
from ..ports import (
    AttemptState,
    HttpClient,
    HttpRequest,
    HttpResponse,
    KvPart,
    LoadReport,
    ModelJob,
    PlainAnswer,
    PlainCall,
    TokenEvent,
)

QUERY_S = 1.0
EVENT_END = b"\n\n"
DONE = "[DONE]"
ATTEMPT_HEADER = "x-request-id"
STATE_HEADER = "x-endpoint-state"
REFUSED_HEADER = "x-not-run"


class HttpModelEndpoints:
    """Speaks to engines with the completions convention of model servers."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    @contextlib.asynccontextmanager
    async def stream(
        self, url: str, attempt: AttemptId, job: ModelJob, stall_s: float
    ) -> t.AsyncIterator[t.AsyncIterator[TokenEvent]]:
        """Run or resume an attempt and hand out its tokens."""
        request = HttpRequest(
            "POST",
            f"{url}/v1/chat/completions" if job.messages else f"{url}/v1/completions",
            headers={
                "content-type": "application/json",
                ATTEMPT_HEADER: str(attempt),
            },
            body=_job_body(job, attempt),
            idle_s=stall_s,
        )
        async with self._client.exchange(request) as response:
            if response.status != 200:
                raise _refusal(url, response.status, response.headers)
            yield _tokens(response, str(attempt), url)

    async def state(self, url: str, attempt: AttemptId) -> AttemptState:
        """Ask over a new connection what became of an attempt."""
        request = HttpRequest(
            "GET",
            f"{url}/v1/attempts/{attempt}",
            connect_s=QUERY_S,
            idle_s=QUERY_S,
            fresh=True,
        )
        async with self._client.exchange(request) as response:
            body = await response.read()
        if response.status == 404:
            return AttemptState.UNKNOWN
        with _well_formed(url):
            return AttemptState(_json(body, url)["state"])

    async def cancel(self, url: str, attempt: str) -> None:
        """Cancel an attempt and free its memory."""
        request = HttpRequest(
            "POST",
            f"{url}/v1/attempts/{attempt}/cancel",
            connect_s=QUERY_S,
            idle_s=QUERY_S,
            fresh=True,
        )
        async with self._client.exchange(request) as response:
            await response.read()

    async def reserve(self, url: str, attempt: AttemptId, tokens: int) -> bool:
        """Reserve KV memory for an attempt; false when there is no room."""
        status = await self._command("PUT", f"{url}/kv/{attempt}", {"tokens": tokens})
        return status == 200

    async def prefill(
        self,
        url: str,
        attempt: AttemptId,
        text: str,
        priority: float,
        imports: tuple[KvPart, ...],
    ) -> None:
        """Start the prefill of a part of a prompt, and export its KV."""
        body = {
            "prompt": text,
            "priority": priority,
            "kv_imports": [dataclasses.asdict(part) for part in imports],
        }
        status = await self._command("POST", f"{url}/kv/{attempt}/prefill", body)
        if status != 202:
            raise EndpointFailedError(
                f'endpoint at "{url}" answered {status}', verdict=Verdict.MAY_HAVE_RUN
            )

    async def order(self, url: str, number: int, models: tuple[str, ...]) -> bool:
        """Order the engine to have these models; false for an old number."""
        body = {"number": number, "models": list(models)}
        status = await self._command("POST", f"{url}/orders", body)
        if status not in (200, 409):
            raise ExchangeBrokenError(f'endpoint at "{url}" answered {status}')
        return status == 200

    async def cache_events(self, url: str, after: int) -> list[CacheEvent]:
        """Return the published cache events behind a number."""
        data = await self._query(f"{url}/kv/events?after={after}")
        with _well_formed(url):
            return [
                CacheEvent(number, kind == "stored", short_digest(bytes.fromhex(block)))
                for number, kind, block in data["events"]
            ]

    async def cached_blocks(self, url: str) -> tuple[int, list[int]]:
        """Return the last event's number and the digests of all cached blocks."""
        data = await self._query(f"{url}/kv/blocks")
        with _well_formed(url):
            digests = [short_digest(bytes.fromhex(block)) for block in data["blocks"]]
            return data["head"], digests

    async def _query(self, url: str) -> t.Any:
        request = HttpRequest("GET", url, connect_s=QUERY_S, idle_s=QUERY_S)
        async with self._client.exchange(request) as response:
            body = await response.read()
        if response.status != 200:
            raise ExchangeBrokenError(f'"{url}" answered {response.status}')
        return _json(body, url)

    async def _command(self, method: str, url: str, body: t.Any) -> int:
        request = HttpRequest(
            method,
            url,
            headers={"content-type": "application/json"},
            body=json.dumps(body).encode(),
            connect_s=QUERY_S,
            idle_s=QUERY_S,
            fresh=True,
        )
        async with self._client.exchange(request) as response:
            await response.read()
        return response.status

    async def load(self, url: str) -> LoadReport:
        """Return the engine's report."""
        data = await self._query(f"{url}/load")
        with _well_formed(url):
            return LoadReport(
                incarnation=data["incarnation"],
                leaving=data["leaving"],
                remaining_by_attempt=data["remaining_by_attempt"],
                held_tokens=data["held_tokens"],
                age_s=data["age_s"],
                models=tuple(data.get("models", ())),
                cache_head=data.get("cache_head"),
            )


class HttpPlainEndpoints:
    """Speaks to plain services."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def call(self, url: str, call: PlainCall, idle_s: float) -> PlainAnswer:
        """Make one call and return the whole answer."""
        request = HttpRequest(
            call.method,
            f"{url}/{call.path}",
            headers={
                "content-type": call.content_type,
                ATTEMPT_HEADER: str(call.attempt),
            },
            body=call.body,
            idle_s=idle_s,
            fresh=call.fresh,
        )
        async with self._client.exchange(request) as response:
            body = await response.read()
        return PlainAnswer(
            status=response.status,
            content_type=response.headers.get("content-type", ""),
            body=body,
            verdict=_verdict_of(response.headers),
        )

    async def health(self, url: str) -> tuple[str, bool]:
        """Return the endpoint's incarnation and whether it is leaving."""
        request = HttpRequest(
            "GET", f"{url}/healthz", connect_s=QUERY_S, idle_s=QUERY_S
        )
        async with self._client.exchange(request) as response:
            data = _json(await response.read(), url)
        with _well_formed(url):
            return data["incarnation"], data["leaving"]


def _job_body(job: ModelJob, attempt: AttemptId) -> bytes:
    content = {"messages": job.messages} if job.messages else {"prompt": job.prompt}
    return json.dumps(
        {
            **job.options,
            **content,
            "model": job.model,
            "max_tokens": job.max_tokens,
            "stream": True,
            "priority": job.priority,
            "cache_salt": job.salt,
            "kv_imports": [dataclasses.asdict(part) for part in job.imports],
            "resume_from": job.resume_from,
            "resume_text": job.resume_text,
            "deadline_ms": attempt.deadline_ms,
        }
    ).encode()


def _verdict_of(headers: t.Mapping[str, str]) -> Verdict:
    return Verdict.NOT_RUN if REFUSED_HEADER in headers else Verdict.RAN


def _refusal(
    url: str, status: int, headers: t.Mapping[str, str]
) -> EndpointFailedError:
    """Return the error for an answer that is not a stream.

    Only the endpoint's own word, in a header, proves that nothing ran.
    """
    refused = REFUSED_HEADER in headers
    verdict = Verdict.NOT_RUN if refused else Verdict.MAY_HAVE_RUN
    return EndpointFailedError(
        f'endpoint at "{url}" answered {status}', verdict=verdict
    )


async def _tokens(
    response: HttpResponse, attempt: str, url: str
) -> t.AsyncIterator[TokenEvent]:
    """Iterate over the tokens of this attempt; drop those of any other."""
    async for data in _events(response):
        if data == DONE:
            return
        with _well_formed(url):
            event = _token_event(_json(data, url), attempt)
        if event is not None:
            yield event
    raise ExchangeBrokenError(f'stream of "{url}" ended before its terminal event')


def _token_event(chunk: t.Any, attempt: str) -> TokenEvent | None:
    """Return the token in a chunk, ``None`` for one of another attempt."""
    if chunk["id"] != attempt:
        return None
    choice = chunk["choices"][0]
    text = choice["delta"]["content"] if "delta" in choice else choice["text"]
    return TokenEvent(chunk["offset"], text, choice["finish_reason"])


async def _events(response: HttpResponse) -> t.AsyncIterator[str]:
    pending = b""
    async for chunk in response.chunks():
        *blocks, pending = (pending + chunk).split(EVENT_END)
        for block in blocks:
            for event in sseclient.SSEClient(iter([block + EVENT_END])).events():
                yield event.data


@contextlib.contextmanager
def _well_formed(url: str) -> t.Iterator[None]:
    """Turn an answer that is not as agreed into a broken exchange."""
    try:
        yield
    except (KeyError, IndexError, TypeError, ValueError) as error:
        raise ExchangeBrokenError(
            f'endpoint at "{url}" answered not as agreed: {error!r}'
        ) from error


def _json(data: bytes | str, url: str) -> t.Any:
    with _well_formed(url):
        return json.loads(data)
