"""HTTP/1.1 client over h11 and a trio socket."""

import typing as t

import h11
import trio

from ..._delivery import has_delivered_all
from ...core import InstanceId
from ...errors import ExchangeBrokenError, ResponseTooLargeError
from ...ports import Headers, HttpReply, TakeRoom, take_nothing
from ._relay_frames import RelayedSocket
from ._sockets import (
    RECEIVE_BYTES,
    Connect,
    Connection,
    connect,
    send_all,
)

CONNECT_TIMEOUT_S = 0.5
MAX_HEAD_BYTES = 65_536
MAX_STATUS = 599
LARGE_BODY_BYTES = 65_536
MAX_BODY_BYTES = 8_388_608  # of an endpoint's response that is read whole
# Heads, chunk headers and trailers, beyond as many bytes as the body has so far.
MAX_FRAMING_BYTES = 262_144


class Exchange:
    """One HTTP request and its response on a client connection.

    :param max_body_bytes: longest body that is read whole.
    :ivar has_framing: the response has a content length or is chunked; else its end
        can't be told from a broken connection.
    """

    def __init__(
        self,
        sock: Connection,
        address: str,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self._sock = sock
        self._address = address
        self._max_body_bytes = max_body_bytes
        self._received_bytes = 0
        self._body_bytes = 0
        self._http = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._unsent: list[bytes] = []
        self._is_sent = False
        self.has_framing = True

    @classmethod
    async def open(
        cls,
        address: str,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_body_bytes: int = MAX_BODY_BYTES,
        connect: Connect = connect,
    ) -> "Exchange":
        """Connect to ``host:port``.

        :param connect_timeout_s: longest time to connect, in seconds.
        :param connect: opens the connection.
        :raises NothingSentError: the connection was not established.
        """
        sock = await connect(address, connect_timeout_s)
        return cls(sock, address, max_body_bytes)

    async def send(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        """Send a complete request.

        :raises ExchangeBrokenError: the connection broke; the request may have run.
        """
        self.prepare(method, target, headers, body)
        await self.send_prepared()

    def prepare(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Take a request to send, before a response to it may be read."""
        head = list(headers)
        if body or method not in ("GET", "HEAD", "DELETE"):
            head.append((b"content-length", b"%d" % len(body)))
        request = h11.Request(method=method, target=target, headers=head)
        parts = [self._http.send(request)]
        if body:
            parts.append(self._http.send(h11.Data(data=body)))
        self._http.send(h11.EndOfMessage())
        # A large body is sent as it is, not copied.
        is_large = len(body) > LARGE_BODY_BYTES
        self._unsent = parts if is_large else [b"".join(parts)]

    async def send_prepared(self) -> None:
        """Send the request that was taken.

        :raises ExchangeBrokenError: the connection broke; the request may have run.
        """
        parts, self._unsent = self._unsent, []
        try:
            for part in parts:
                await send_all(self._sock, part)
        except OSError as error:
            raise self._broken_error(error) from error
        self._is_sent = True

    async def receive_head(self) -> h11.Response:
        """Wait for the head of the response."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    raise ExchangeBrokenError(
                        f'"{self._address}" sent {event.status_code}, no status'
                    )
                names = {name for name, _ in event.headers}
                self.has_framing = (
                    b"content-length" in names or b"transfer-encoding" in names
                )
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise self._broken_error("no response")

    async def receive_data(self) -> bytes | None:
        """Return the next bytes of the body, ``None`` once it is complete."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            self._body_bytes += len(event.data)
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise self._broken_error("connection closed")

    async def receive_body(self, take: TakeRoom = take_nothing) -> bytes:
        """Return the whole body.

        :param take: takes room for each part of it.
        :raises ResponseTooLargeError: it is longer than allowed.
        """
        body = bytearray()
        while (part := await self.receive_data()) is not None:
            await take(len(part))
            body += part
            if self._body_bytes > self._max_body_bytes:
                raise self._too_large_error("body", self._max_body_bytes)
        return bytes(body)

    def prepare_for_reuse(self) -> bool:
        """Prepare the connection for another request; return false if it can't be."""
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        if self._http.trailing_data[0]:
            return False
        self._http.start_next_cycle()
        self._received_bytes = self._body_bytes = 0
        self._is_sent = False
        return True

    @property
    def relay(self) -> InstanceId | None:
        """The instance through which the connection goes, ``None`` if it is direct."""
        return self._sock.relay if isinstance(self._sock, RelayedSocket) else None

    @property
    def is_quiet(self) -> bool:
        """Whether an idle connection is open and the server has sent nothing."""
        return not self._sock.is_readable()

    def close(self) -> None:
        """Close the connection, which cancels a request that still runs."""
        self._sock.close()

    async def _next_event(self) -> t.Any:
        while True:
            try:
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._check_framing_size()
                self._http.receive_data(await self._receive_bytes())
            except (OSError, h11.RemoteProtocolError) as error:
                raise self._broken_error(error) from error

    async def _receive_bytes(self) -> bytes:
        """Return the next bytes, none at the orderly end of the connection.

        :raises ConnectionResetError: the connection ended before all of the request
            was sent. The system reports a reset once, perhaps to the sender.
        """
        data = await self._sock.recv(RECEIVE_BYTES)
        if not data and not self._has_delivered_all():
            raise ConnectionResetError(
                "it was reset or ended before all of the request was sent"
            )
        self._received_bytes += len(data)
        return data

    def _has_delivered_all(self) -> bool:
        """Return whether the server has received the whole request."""
        if not self._is_sent:
            return False
        # The end of a relayed connection is marked only if it has.
        return isinstance(self._sock, RelayedSocket) or has_delivered_all(self._sock)

    def _check_framing_size(self) -> None:
        framing_bytes = self._received_bytes - self._body_bytes
        if framing_bytes > self._body_bytes + MAX_FRAMING_BYTES:
            raise self._too_large_error("framing", MAX_FRAMING_BYTES)

    def _too_large_error(self, part: str, max_bytes: int) -> ResponseTooLargeError:
        return ResponseTooLargeError(
            f'the {part} of the response of "{self._address}" is longer than '
            f"{max_bytes} bytes"
        )

    def _broken_error(self, reason: object) -> ExchangeBrokenError:
        return ExchangeBrokenError(
            f'"{self._address}" broke off: {reason}', connection_lost=True
        )


class KeepAliveHttpClient:
    """Sends requests to one address, one at a time, over a keep-alive connection.

    :param max_body_bytes: longest body of a response.
    :param connect: opens the connection.
    """

    def __init__(
        self,
        address: str,
        max_body_bytes: int = MAX_BODY_BYTES,
        connect: Connect = connect,
    ) -> None:
        self._address = address
        self._connect = connect
        self._max_body_bytes = max_body_bytes
        self._exchange: Exchange | None = None

    async def call(
        self, method: str, target: str, body: bytes | None, timeout_s: float
    ) -> HttpReply:
        """Send a request and return the response.

        A connection that fails is closed and not used again.

        :raises NothingSentError: the connection was not established.
        :raises ExchangeBrokenError: the request was sent, but no complete response
            came within ``timeout_s`` seconds.
        """
        exchange = self._take_idle()
        if exchange is None:
            exchange = await Exchange.open(
                self._address,
                max_body_bytes=self._max_body_bytes,
                connect=self._connect,
            )
        try:
            with trio.move_on_after(timeout_s):
                reply = await self._request(exchange, method, target, body or b"")
                if exchange.prepare_for_reuse():
                    self._exchange = exchange
                return reply
        finally:
            if self._exchange is not exchange:
                exchange.close()
        raise ExchangeBrokenError(f'"{self._address}" did not answer in {timeout_s} s')

    async def aclose(self) -> None:
        """Close the connection."""
        if self._exchange is not None:
            self._exchange.close()
            self._exchange = None

    def _take_idle(self) -> Exchange | None:
        """Return the idle connection, if it can still be used.

        Bytes that arrived on it answer no request, or are its end.
        """
        exchange, self._exchange = self._exchange, None
        if exchange is None or exchange.is_quiet:
            return exchange
        exchange.close()
        return None

    async def _request(
        self, exchange: Exchange, method: str, target: str, body: bytes
    ) -> HttpReply:
        headers: Headers = [(b"host", self._address.encode())]
        if body:
            headers.append((b"content-type", b"application/json"))
        await exchange.send(method, target, headers, body)
        head = await exchange.receive_head()
        body = await exchange.receive_body()
        return HttpReply(head.status_code, body, list(head.headers))
