"""ASGI middleware that reads the bodies of requests within the room for them."""

import typing as t

import trio

from ..errors import RequestTimeoutError
from ..ports import TAKE_ROOM_KEY, AsgiApp
from ._client_streams import ClientStream

DISCARD_TIMEOUT_S = 1.0
MAX_DISCARDED_BYTES = 8_388_608

StreamOf = t.Callable[[tuple[str, int]], ClientStream]


class RequestBodyMiddleware:
    """Takes room for each body, and discards what the application did not read of it.

    The server closes a connection whose request was not read to its end. That resets
    it, which can destroy the response before the caller has read it; over HTTP/2, the
    responses to other requests, too.

    :param stream_of: returns the connection from an address of a caller.
    """

    def __init__(self, app: AsgiApp, stream_of: StreamOf) -> None:
        self._app = app
        self._stream_of = stream_of

    async def __call__(self, scope: t.Any, receive: t.Any, send: t.Any) -> None:
        """Serve one connection of ASGI."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        stream = self._stream_of(scope["client"])
        request = _Request(receive, send, stream)
        stream.begin_request(request)
        scope = {**scope, TAKE_ROOM_KEY: request.take_room}
        try:
            await self._app(scope, request.receive, request.send)
        finally:
            stream.end_body(request)
            stream.end_request(request.size, request.is_answered)


class _Request:
    """One request, as far as the application has received and answered it.

    :ivar size: bytes that the application has received and keeps to answer.
    :ivar is_answered: the response is complete.
    """

    def __init__(self, receive: t.Any, send: t.Any, stream: ClientStream) -> None:
        self._receive = receive
        self._send = send
        self._stream = stream
        self._receiving: trio.CancelScope | None = None
        self._is_refused = False
        self._is_complete = False
        self.size = 0
        self.is_answered = False

    async def receive(self) -> dict[str, t.Any]:
        """Return the next ASGI message about the request.

        :raises RequestTimeoutError: the client has halted, and others need the room.
        :raises NotReadyError: there is no room for the next part.
        """
        if self._is_complete:
            return await self._receive()
        message = await self._next_part()
        await self.take_room(len(message.get("body", b"")))
        return message

    async def take_room(self, size: int) -> None:
        """Take room until the request has been answered.

        :raises NotReadyError: there is none.
        """
        await self._stream.take(size)
        self.size += size

    async def send(self, message: dict[str, t.Any]) -> None:
        """Send an ASGI message; the last one after the request's body."""
        is_body = message["type"] == "http.response.body"
        is_last = is_body and not message.get("more_body")
        if is_last and not self._is_complete:
            await self._send({**message, "more_body": True})
            await self._discard()
            message = {"type": "http.response.body", "body": b""}
        await self._send(message)
        self.is_answered = self.is_answered or is_last

    def refuse_rest(self) -> None:
        """Let the application receive no more."""
        self._is_refused = True
        if self._receiving is not None:
            self._receiving.cancel()

    async def _next_part(self) -> dict[str, t.Any]:
        with trio.CancelScope() as self._receiving:
            if not self._is_refused:
                return self._record(await self._receive())
        raise RequestTimeoutError(
            "the rest of the request did not come while others needed its memory"
        )

    async def _discard(self) -> None:
        """Receive the rest, for a bounded time and size, and keep none of it."""
        discarded_bytes = 0
        with trio.move_on_after(DISCARD_TIMEOUT_S):
            while not self._is_complete and discarded_bytes < MAX_DISCARDED_BYTES:
                message = self._record(await self._receive())
                discarded_bytes += len(message.get("body", b""))

    def _record(self, message: dict[str, t.Any]) -> dict[str, t.Any]:
        self._stream.record_body(len(message.get("body", b"")))
        if not message.get("more_body", False):
            self._is_complete = True
            self._stream.end_body(self)
        return message
