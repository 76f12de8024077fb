"""A client that sends requests and records each outcome for tables and checks."""

import dataclasses
import json
import typing as t

import sseclient
import trio

from foxtailsaddle.errors import ExchangeBrokenError, NothingSentError
from foxtailsaddle.ports import HttpClient, HttpRequest, HttpResponse

from .fleet import CALLER_KEY


@dataclasses.dataclass
class CallRecord:
    """One request and its outcome as observed by the client.

    :param request: prompt or body that was sent.
    :param key: idempotency key that was sent.
    :param allowed_s: allowed time that was sent, in seconds.
    :param status: HTTP status; 0 without a response.
    :param code: "ok", the code of a problem document, or a text that starts
        with "cut" for a response without its end.
    :param verdict: whether the request ran, as the instance stated it.
    :param first_token_s: seconds until the first text of a stream.
    :param total_s: seconds until the end of the response.
    """

    request: str
    key: str | None = None
    allowed_s: float = 0.0
    status: int = 0
    code: str = "cut"
    verdict: str = ""
    text: str = ""
    first_token_s: float = 0.0
    total_s: float = 0.0
    retry_after_s: float | None = None
    request_id: str = ""


class Caller:
    """A client of the public API of the instances.

    :param key: API key.
    """

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
        messages: t.Sequence[str] = (),
    ) -> CallRecord:
        """Stream one completion to its end and return its record.

        :param messages: contents of the messages of a chat, in place of the prompt.
        """
        body = {
            "model": model,
            "max_tokens": max_tokens,
            "stream": True,
        }
        if messages:
            items = [{"role": "user", "content": content} for content in messages]
            body["messages"] = items
        else:
            body["prompt"] = prompt
        record = CallRecord(prompt or "\n".join(messages), allowed_s=allowed_s)
        started = trio.current_time()
        try:
            with trio.move_on_after(allowed_s + 10):
                await self._stream(url, body, allowed_s, record, started)
        except (NothingSentError, ExchangeBrokenError) as error:
            record.code = f"cut: {error.message}"
        record.total_s = trio.current_time() - started
        return record

    async def call(
        self,
        url: str,
        path: str,
        body: bytes,
        key: str | None = None,
        allowed_s: float = 10.0,
        service: str = "register",
    ) -> CallRecord:
        """Call a plain service once and return the record of the call."""
        headers = {**self._headers(allowed_s), "content-type": "application/json"}
        if key is not None:
            headers["idempotency-key"] = key
        record = CallRecord(body.decode(), key=key, allowed_s=allowed_s)
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
                    _record_head(response, record)
                    _record_body(await response.read(), record)
        except (NothingSentError, ExchangeBrokenError) as error:
            record.code = f"cut: {error.message}"
        record.total_s = trio.current_time() - started
        return record

    async def _stream(
        self,
        url: str,
        body: dict[str, t.Any],
        allowed_s: float,
        record: CallRecord,
        started: float,
    ) -> None:
        headers = {**self._headers(allowed_s), "content-type": "application/json"}
        path = "chat/completions" if "messages" in body else "completions"
        request = HttpRequest(
            "POST",
            f"{url}/v1/{path}",
            headers=headers,
            body=json.dumps(body).encode(),
            idle_timeout_s=allowed_s + 10,
        )
        async with self._client.exchange(request) as response:
            _record_head(response, record)
            if response.status != 200:
                _record_body(await response.read(), record)
                return
            pending = b""
            async for chunk in response.chunks():
                *blocks, pending = (pending + chunk).split(b"\n\n")
                for block in blocks:
                    _record_event(block, record, started)

    def _headers(self, allowed_s: float) -> dict[str, str]:
        return {
            "authorization": f"Bearer {self._key}",
            "x-allowed-time-s": str(allowed_s),
        }


def _record_head(response: HttpResponse, record: CallRecord) -> None:
    record.status = response.status
    record.verdict = response.headers.get("x-verdict", "")
    record.request_id = response.headers.get("x-request-id", "")


def _record_body(content: bytes, record: CallRecord) -> None:
    if record.status == 200:
        record.code = "ok"
        record.text = content.decode()
        return
    try:
        _record_problem(json.loads(content), record)
    except (ValueError, KeyError):
        record.code = f"status {record.status}"
        record.text = content.decode()


def _record_problem(problem: dict[str, t.Any], record: CallRecord) -> None:
    record.code = problem["code"]
    record.verdict = problem["verdict"]
    record.retry_after_s = problem.get("retry_after_s")


def _record_event(block: bytes, record: CallRecord, started: float) -> None:
    for event in sseclient.SSEClient(iter([block + b"\n\n"])).events():
        if event.event == "error":
            _record_problem(json.loads(event.data), record)
        elif event.data == "[DONE]":
            record.code = "ok"
            record.verdict = "ran"
        else:
            choice = json.loads(event.data)["choices"][0]
            text = choice["text"] if "text" in choice else choice["delta"]["content"]
            if text and not record.text:
                record.first_token_s = trio.current_time() - started
            record.text += text
