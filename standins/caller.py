"""A caller: sends requests and keeps what it saw, for tables and histories."""

import dataclasses
import json
import typing as t

import sseclient
import trio

from foxtailsaddle.errors import ExchangeBrokenError, NothingSentError
from foxtailsaddle.ports import HttpClient, HttpRequest, HttpResponse

from .fleet import CALLER_KEY


@dataclasses.dataclass
class Seen:
    """What one request looked like from the caller's side.

    :param code: "ok", a problem's code, or "cut" for an answer with no end.
    """

    request: str
    key: str | None = None
    allowed_s: float = 0.0
    status: int = 0
    code: str = "cut"
    verdict: str = ""
    text: str = ""
    first_s: float = 0.0
    total_s: float = 0.0
    retry_after_s: float | None = None
    request_id: str = ""


class Caller:
    """Speaks the callers' interface of an instance."""

    def __init__(self, client: HttpClient, key: str = CALLER_KEY) -> None:
        self._client = client
        self._key = key

    async def complete(
        self,
        url: str,
        prompt: str,
        max_tokens: int = 16,
        allowed_s: float = 60.0,
        model: str = "drafts",
    ) -> Seen:
        """Stream one completion to its end."""
        body = {
            "model": model,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        seen = Seen(prompt, allowed_s=allowed_s)
        started = trio.current_time()
        try:
            with trio.move_on_after(allowed_s + 10):
                await self._stream(url, body, allowed_s, seen, started)
        except (NothingSentError, ExchangeBrokenError) as error:
            seen.code = f"cut: {error.message}"
        seen.total_s = trio.current_time() - started
        return seen

    async def call(
        self,
        url: str,
        path: str,
        body: bytes,
        key: str | None = None,
        allowed_s: float = 10.0,
        service: str = "register",
    ) -> Seen:
        """Make one call of a plain service."""
        headers = {**self._headers(allowed_s), "content-type": "application/json"}
        if key is not None:
            headers["idempotency-key"] = key
        seen = Seen(body.decode(), key=key, allowed_s=allowed_s)
        started = trio.current_time()
        try:
            with trio.move_on_after(allowed_s + 10):
                request = HttpRequest(
                    "POST",
                    f"{url}/v1/services/{service}/{path}",
                    headers=headers,
                    body=body,
                    idle_timeout_s=allowed_s + 10,
                )
                async with self._client.exchange(request) as response:
                    _take_head(response, seen)
                    _take_whole(await response.read(), seen)
        except (NothingSentError, ExchangeBrokenError) as error:
            seen.code = f"cut: {error.message}"
        seen.total_s = trio.current_time() - started
        return seen

    async def _stream(
        self,
        url: str,
        body: dict[str, t.Any],
        allowed_s: float,
        seen: Seen,
        started: float,
    ) -> None:
        headers = {**self._headers(allowed_s), "content-type": "application/json"}
        request = HttpRequest(
            "POST",
            f"{url}/v1/completions",
            headers=headers,
            body=json.dumps(body).encode(),
            idle_timeout_s=allowed_s + 10,
        )
        async with self._client.exchange(request) as response:
            _take_head(response, seen)
            if response.status != 200:
                _take_whole(await response.read(), seen)
                return
            pending = b""
            async for chunk in response.chunks():
                *blocks, pending = (pending + chunk).split(b"\n\n")
                for block in blocks:
                    _take_event(block, seen, started)

    def _headers(self, allowed_s: float) -> dict[str, str]:
        return {
            "authorization": f"Bearer {self._key}",
            "x-allowed-time-s": str(allowed_s),
        }


def _take_head(response: HttpResponse, seen: Seen) -> None:
    seen.status = response.status
    seen.verdict = response.headers.get("x-verdict", "")
    seen.request_id = response.headers.get("x-request-id", "")


def _take_whole(content: bytes, seen: Seen) -> None:
    if seen.status == 200:
        seen.code = "ok"
        seen.text = content.decode()
        return
    try:
        _take_problem(json.loads(content), seen)
    except (ValueError, KeyError):
        seen.code = f"status {seen.status}"
        seen.text = content.decode()


def _take_problem(problem: dict[str, t.Any], seen: Seen) -> None:
    seen.code = problem["code"]
    seen.verdict = problem["verdict"]
    seen.retry_after_s = problem.get("retry_after_s")


def _take_event(block: bytes, seen: Seen, started: float) -> None:
    for event in sseclient.SSEClient(iter([block + b"\n\n"])).events():
        if event.event == "error":
            _take_problem(json.loads(event.data), seen)
        elif event.data == "[DONE]":
            seen.code = "ok"
            seen.verdict = "ran"
        else:
            text = json.loads(event.data)["choices"][0]["text"]
            if text and not seen.text:
                seen.first_s = trio.current_time() - started
            seen.text += text
