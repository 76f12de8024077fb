"""Connections of callers, within the room for them and for what they send."""

import math
import typing as t

import trio

from .._client_room import ClientRoom
from ..core import ConnectionStage

HTTP2_PREFACE = b"PRI * HTTP/2.0"
FRAMING_PER_BODY_BYTE = 8  # a chunk of one byte has five, and may have leading zeros
MAX_FRAMING_BYTES = 262_144  # heads, chunk headers and trailers of one request, beyond
SENT_BYTES = 65_536  # after which the client is taken to have read something
MAX_ABORTED_REQUESTS = 200  # more than as many that were answered


class ReadRequest(t.Protocol):
    """A request whose body is being read."""

    def refuse_rest(self) -> None:
        """Read no more of it, and refuse it."""


class ClientStream:
    """One connection, as the web server reads and writes it.

    The server parses what it receives; the middleware tells the connection which
    requests have begun and ended.

    :param head_timeout_s: time from the first byte of a request until its head must be
        complete, in seconds.
    :raises TooManyConnectionsError: there is no room for the connection.
    """

    def __init__(
        self, stream: trio.SocketStream, room: ClientRoom, head_timeout_s: float
    ) -> None:
        self._stream = stream
        self._room = room
        self._head_timeout_s = head_timeout_s
        self._holding = room.open(self)
        self._reading: set[ReadRequest] = set()
        self._requests = 0
        self._begun_requests = 0
        self._aborted_requests = 0
        self._framing_bytes = 0
        self._head_began_at: float | None = None
        self._is_http2 = False
        self._receiving = trio.CancelScope()
        self.socket = stream.socket

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return the next bytes; none at the end, or once the client must go."""
        if self._must_go():
            return b""
        self._receiving = trio.CancelScope(deadline=self._head_ends_at())
        with self._receiving:
            data = await self._stream.receive_some(max_bytes)
            self._record_received(data)
            return data
        return b""

    async def send_all(self, data: bytes) -> None:
        """Send all of ``data``."""
        view = memoryview(data)
        for start in range(0, len(data), SENT_BYTES):
            await self._send_part(view[start : start + SENT_BYTES])

    async def send_eof(self) -> None:
        """Send the end of the connection."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        self._room.close(self._holding)
        await self._stream.aclose()

    def close_now(self) -> None:
        """Close the connection without an answer, to make room for another one."""
        self.socket.close()

    def refuse_rest(self) -> None:
        """Refuse the requests that are being read, to make room for others."""
        for request in list(self._reading):
            request.refuse_rest()
        if not self._reading:
            self.close_now()

    def begin_request(self, request: ReadRequest) -> None:
        """Record that the head of a request is complete."""
        self._requests += 1
        self._begun_requests += 1
        self._reading.add(request)
        self._head_began_at = None
        self._receiving.deadline = math.inf
        self._enter(ConnectionStage.BODY)

    def end_body(self, request: ReadRequest) -> None:
        """Record that a request's body is complete, or is read no further."""
        self._reading.discard(request)
        if not self._reading:
            self._framing_bytes = 0
            self._enter(ConnectionStage.READY)

    def end_request(self, size: int, is_answered: bool) -> None:
        """Record the end of a request, and give back the bytes that it held."""
        self._requests -= 1
        self._aborted_requests += not is_answered
        self._room.budget.resize(self._holding, max(0, self._holding.size - size))
        if not self._requests:
            self._enter(ConnectionStage.IDLE)

    def record_body(self, size: int) -> None:
        """Record that a part of a body was parsed."""
        self._framing_bytes -= size * (1 + FRAMING_PER_BODY_BYTE)

    async def take(self, size: int) -> None:
        """Take room for more bytes of a body.

        :raises NotReadyError: there is none.
        """
        await self._room.take(self._holding, size)

    async def _send_part(self, part: memoryview) -> None:
        if not self._requests or self._reading:
            await self._stream.send_all(part)
            return
        self._enter(ConnectionStage.SENDING)
        await self._stream.send_all(part)
        if self._requests and not self._reading:
            self._enter(ConnectionStage.READY)

    def _enter(self, stage: ConnectionStage) -> None:
        self._room.enter(self._holding, stage)

    def _record_received(self, data: bytes) -> None:
        if not self._begun_requests and data.startswith(HTTP2_PREFACE):
            self._is_http2 = True
        self._framing_bytes += len(data)
        # Between requests, HTTP/2 has frames that belong to none.
        if not self._requests and not (self._is_http2 and self._begun_requests):
            self._record_head()

    def _record_head(self) -> None:
        if self._head_began_at is None:
            self._head_began_at = trio.current_time()
        self._enter(ConnectionStage.HEAD)

    def _head_ends_at(self) -> float:
        if self._head_began_at is None:
            return math.inf
        return self._head_began_at + self._head_timeout_s

    def _must_go(self) -> bool:
        """Whether the client sends far more than its requests need."""
        answered = self._begun_requests - self._aborted_requests
        if self._aborted_requests > answered + MAX_ABORTED_REQUESTS:
            return True
        return not self._is_http2 and self._framing_bytes > MAX_FRAMING_BYTES
