"""A small HTTP server on h11 and trio that can send invalid answers on purpose."""

import contextlib
import dataclasses
import json
import socket
import struct
import typing as t
import urllib.parse

import h11
import trio

RECEIVE_BYTES = 65536


@dataclasses.dataclass
class WireRequest:
    """A request with its complete body."""

    method: str
    path: str
    target: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> t.Any:
        """Return the body decoded from JSON."""
        return json.loads(self.body)


class WireConnection:
    """A client connection, on which valid answers or raw bytes are sent.

    :param wait_while_silent: returns when the server may read and send.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        wait_while_silent: t.Callable[[], t.Awaitable[None]],
    ) -> None:
        self._stream = stream
        self._wait_while_silent = wait_while_silent
        self._http = h11.Connection(h11.SERVER, 1 << 20)

    async def read_request(
        self, is_early: t.Callable[[], bool] = lambda: False
    ) -> WireRequest | None:
        """Return the next request, ``None`` once the client has closed.

        :param is_early: whether to return a request before its body is read.
        """
        head: h11.Request | None = None
        body = b""
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                data = await self._stream.receive_some(RECEIVE_BYTES)
                await self._wait_while_silent()
                self._http.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
                if is_early():
                    return _parse_request(head, b"")
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return _parse_request(head, body)
            else:
                return None

    async def answer(
        self, status: int, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> bool:
        """Send a complete answer; return whether the connection can be reused."""
        items = [(name, value) for name, value in (headers or {}).items()]
        items.append(("content-length", str(len(body))))
        data = self._http.send(h11.Response(status_code=status, headers=items))
        data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage()) or b""
        await self.send_raw(data)
        if self._http.our_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    async def send_raw(self, data: bytes) -> None:
        """Send bytes unchanged."""
        await self._wait_while_silent()
        await self._stream.send_all(data)

    async def wait_closed(self) -> None:
        """Wait until the client has closed its side."""
        while await self._stream.receive_some(RECEIVE_BYTES):
            pass

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        sock = self._stream.socket
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.close()


Handler = t.Callable[[WireConnection, WireRequest], t.Awaitable[bool]]


class WireServer:
    """Serves a handler on one address.

    :param handler: answers a request; returns whether the connection can be reused.
    :param is_early: whether requests are answered before their bodies are read.
    :ivar port: 0 until a free port is chosen at the start.
    """

    def __init__(
        self,
        handler: Handler,
        host: str,
        is_early: t.Callable[[], bool] = lambda: False,
    ) -> None:
        self._is_early = is_early
        self._handler = handler
        self._host = host
        self._scope = trio.CancelScope()
        self._connections: set[WireConnection] = set()
        self._silent_until = 0.0
        self.port = 0

    @property
    def address(self) -> str:
        """The address ``host:port`` on which it listens."""
        return f"{self._host}:{self.port}"

    async def run(self, task_status: t.Any = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until stopped; it may run again at the same address afterwards."""
        listeners = await trio.open_tcp_listeners(self.port, host=self._host)
        self.port = listeners[0].socket.getsockname()[1]
        self._scope = trio.CancelScope()
        with self._scope:
            await trio.serve_listeners(self._serve, listeners, task_status=task_status)

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._scope.cancel()

    def abort(self) -> None:
        """Close the listener and reset all connections."""
        for connection in self._connections:
            with contextlib.suppress(OSError):  # it is closed already
                connection.reset()
        self._scope.cancel()

    def fall_silent(self, seconds: float) -> None:
        """Read and send nothing for a time, then go on with all connections."""
        self._silent_until = trio.current_time() + seconds

    async def _wait_while_silent(self) -> None:
        while trio.current_time() < self._silent_until:
            await trio.sleep_until(self._silent_until)

    async def _serve(self, stream: trio.SocketStream) -> None:
        connection = WireConnection(stream, self._wait_while_silent)
        self._connections.add(connection)
        try:
            async with stream:
                while (
                    request := await connection.read_request(self._is_early)
                ) is not None:
                    if not await self._handler(connection, request):
                        return
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return
        except h11.ProtocolError:
            return
        finally:
            self._connections.discard(connection)


def _parse_request(head: h11.Request, body: bytes) -> WireRequest:
    target = head.target.decode("latin-1")
    path, _, query = target.partition("?")
    headers = {
        name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers
    }
    fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
    return WireRequest(head.method.decode(), path, target, fields, headers, body)
