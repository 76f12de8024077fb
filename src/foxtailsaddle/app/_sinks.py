"""Responses to callers: event streams, JSON documents and problem details."""

import json
import logging
import math
import time
import typing as t

import trio
from starlette.responses import JSONResponse, Response
from starlette.types import Receive, Scope, Send

from ..errors import FoxtailsaddleError, RequestInvalidError
from ..verdicts import Verdict

logger = logging.getLogger("foxtailsaddle.callers")

PROBLEM_TYPE = "application/problem+json"
DONE_EVENT = b"data: [DONE]\n\n"

Serve = t.Callable[[t.Any], t.Awaitable[None]]


def to_foxtailsaddle_error(error: Exception) -> FoxtailsaddleError:
    """Return the error to send to the caller.

    An unexpected exception is logged and replaced by an internal error; its verdict
    is that the request may have run.
    """
    if isinstance(error, FoxtailsaddleError):
        return error
    logger.error("callers: unexpected error", exc_info=error)
    return FoxtailsaddleError(
        "an unexpected error occurred", verdict=Verdict.MAY_HAVE_RUN
    )


def problem_details(error: FoxtailsaddleError) -> dict[str, t.Any]:
    """Return an error as RFC 9457 problem details with code and verdict."""
    body = {
        "type": f"urn:foxtailsaddle:{error.code}",
        "title": error.code.replace("_", " "),
        "status": error.status,
        "detail": error.message,
        "code": error.code,
        "verdict": error.verdict.value,
    }
    if error.retry_after_s is not None:
        body["retry_after_s"] = round(error.retry_after_s, 3)
    return body


def problem_response(error: FoxtailsaddleError, request_id: str = "") -> Response:
    """Return an error as a response.

    :param request_id: id of the request, if it was admitted.
    """
    headers = {"x-verdict": error.verdict.value}
    if request_id:
        headers["x-request-id"] = request_id
    if error.retry_after_s is not None:
        headers["retry-after"] = str(math.ceil(error.retry_after_s))
    return JSONResponse(
        problem_details(error),
        status_code=error.status,
        headers=headers,
        media_type=PROBLEM_TYPE,
    )


class _AnswerSink:
    """ASGI response that serves a request and cancels it if the caller disconnects.

    :param caller_timeout_s: longest wait for the caller to read data, in seconds.
    :param serve: serves the request into this sink, or raises the final error.
    """

    def __init__(
        self,
        request_id: str,
        model: str,
        chat: bool,
        caller_timeout_s: float,
        serve: Serve,
        prompt_tokens: int,
    ) -> None:
        self._request_id = request_id
        self._model = model
        self._chat = chat
        self._caller_timeout_s = caller_timeout_s
        self._serve = serve
        self._prompt_tokens = prompt_tokens
        self._token_count = 0
        self._created = int(time.time())
        self._send: Send | None = None
        self._is_ending = False

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run the request and send its answer."""
        self._send = send
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._cancel_on_disconnect, receive, nursery.cancel_scope
            )
            try:
                await self._serve(self)
            except Exception as error:
                self._is_ending = True
                await self._fail(to_foxtailsaddle_error(error), scope, receive)
            nursery.cancel_scope.cancel()

    async def _fail(
        self, error: FoxtailsaddleError, scope: Scope, receive: Receive
    ) -> None:
        await problem_response(error, self._request_id)(scope, receive, self._send)

    async def _cancel_on_disconnect(
        self, receive: Receive, scope: trio.CancelScope
    ) -> None:
        """Cancel the request when its caller disconnects.

        The server also reports a disconnect while the last body part is being
        sent. Cancelling at that point would prevent the server from starting the
        connection's idle timeout, and the connection would stay open forever.
        """
        while (await receive())["type"] != "http.disconnect":
            pass
        if not self._is_ending:
            scope.cancel()

    async def _write(self, message: dict[str, t.Any]) -> None:
        """Send a message; fail if the caller does not read in time."""
        with trio.move_on_after(self._caller_timeout_s) as scope:
            await self._send(message)
        if scope.cancelled_caught:
            raise RequestInvalidError(
                f"the caller read no data for {self._caller_timeout_s} s"
            )

    async def _start(self, content_type: str) -> None:
        headers = [
            (b"content-type", content_type.encode()),
            (b"x-request-id", self._request_id.encode()),
        ]
        await self._write(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )

    def _response_object(self, choice: dict[str, t.Any], kind: str) -> dict[str, t.Any]:
        return {
            "id": self._request_id,
            "object": kind,
            "created": self._created,
            "model": self._model,
            "choices": [{"index": 0, **choice}],
        }

    def _usage(self) -> dict[str, int]:
        return {
            "prompt_tokens": self._prompt_tokens,
            "completion_tokens": self._token_count,
            "total_tokens": self._prompt_tokens + self._token_count,
        }


class EventStreamSink(_AnswerSink):
    """Sends server-sent events; a complete answer ends with ``[DONE]``.

    After a failure that follows the first token, the stream ends with an event named
    ``error``; a stream that ends with neither was cut off.
    """

    async def token(self, text: str) -> None:
        """Send one token."""
        if self._token_count == 0:
            await self._start("text/event-stream")
        self._token_count += 1
        await self._event(self._choice(text, None))

    async def finish(self, reason: str) -> None:
        """Send the end of a complete answer."""
        if self._token_count == 0:
            await self._start("text/event-stream")
        await self._event(self._choice("", reason))
        self._is_ending = True
        await self._body(DONE_EVENT, more=False)

    async def _fail(
        self, error: FoxtailsaddleError, scope: Scope, receive: Receive
    ) -> None:
        if self._token_count == 0:
            await super()._fail(error, scope, receive)
            return
        data = json.dumps(problem_details(error))
        with trio.move_on_after(self._caller_timeout_s):
            await self._body(f"event: error\ndata: {data}\n\n".encode(), more=False)

    def _choice(self, text: str, reason: str | None) -> dict[str, t.Any]:
        if self._chat:
            choice = {"delta": {"content": text}, "finish_reason": reason}
            return self._response_object(choice, "chat.completion.chunk")
        choice = {"text": text, "finish_reason": reason}
        return self._response_object(choice, "text_completion")

    async def _event(self, response_object: dict[str, t.Any]) -> None:
        await self._body(f"data: {json.dumps(response_object)}\n\n".encode(), more=True)

    async def _body(self, data: bytes, more: bool) -> None:
        await self._write(
            {"type": "http.response.body", "body": data, "more_body": more}
        )


class BufferedSink(_AnswerSink):
    """Sends one JSON document when the answer is complete."""

    def __init__(self, **options: t.Any) -> None:
        super().__init__(**options)
        self._texts: list[str] = []

    async def token(self, text: str) -> None:
        """Buffer one token."""
        self._token_count += 1
        self._texts.append(text)

    async def finish(self, reason: str) -> None:
        """Send the complete answer."""
        text = "".join(self._texts)
        if self._chat:
            message = {"role": "assistant", "content": text}
            choice = {"message": message, "finish_reason": reason}
            response_object = self._response_object(choice, "chat.completion")
        else:
            choice = {"text": text, "finish_reason": reason}
            response_object = self._response_object(choice, "text_completion")
        body = json.dumps({**response_object, "usage": self._usage()}).encode()
        self._is_ending = True
        await self._start("application/json")
        await self._write({"type": "http.response.body", "body": body})
