"""Implements the web server port with hypercorn."""

import functools
import logging
import socket
import typing as t

import hypercorn.config
import hypercorn.trio.tcp_server
import hypercorn.trio.worker_context
import hypercorn.utils
import trio

from .._client_room import ClientRoom
from ..core import Listen
from ..errors import TooManyConnectionsError
from ..ports import AsgiApp
from ._client_streams import ClientStream
from ._listeners import open_listener
from ._request_bodies import RequestBodyMiddleware

logger = logging.getLogger("foxtailsaddle.web")

KEEP_ALIVE_S = 75.0
MAX_CLIENT_BYTES = 64_000_000
MAX_CONNECTIONS = 2000
QUEUED_BODY_PARTS = 1  # parsed and not yet received by the application
# Longest time that a request sent before the listener closed is in transit.
LATE_REQUEST_WAIT_S = 1.0


class HypercornServer:
    """Serves HTTP/1.1 and HTTP/2 on one address.

    :param max_requests: highest number of concurrent requests.
    :param idle_timeout_s: time after which the connection of a caller that reads
        nothing is closed, in seconds.
    :param head_timeout_s: longest time for the head of a request, in seconds.
    :param room: room for the connections of callers and for what they send.
    """

    def __init__(
        self,
        max_requests: int,
        idle_timeout_s: float,
        head_timeout_s: float = 10.0,
        room: ClientRoom | None = None,
    ) -> None:
        self._max_requests = max_requests
        self._idle_timeout_s = idle_timeout_s
        self._head_timeout_s = head_timeout_s
        self._room = room or ClientRoom(MAX_CLIENT_BYTES, MAX_CONNECTIONS)

    async def serve(
        self,
        app: AsgiApp,
        listen: Listen,
        wait_for_shutdown: t.Callable[[], t.Awaitable[float]],
    ) -> None:
        """Serve until ``wait_for_shutdown`` returns, then finish requests in flight.

        A caller can't know when the listener closes. Connections that wait in
        the listen backlog by then are accepted, and for
        :data:`LATE_REQUEST_WAIT_S` seconds, requests in transit are still served.
        """
        limiter = _RequestLimiter(app, self._max_requests, self._room)
        connection_handler = _ConnectionHandler(
            limiter, self._room, self._head_timeout_s
        )
        sock = open_listener(listen, self._idle_timeout_s)
        sock.setblocking(False)
        async with trio.open_nursery() as nursery:
            with sock:
                async with trio.open_nursery() as accept_nursery:
                    accept_nursery.start_soon(
                        connection_handler.accept, sock.dup(), nursery
                    )
                    drain_timeout_s = await wait_for_shutdown()
                    accept_nursery.cancel_scope.cancel()
                for connection in _accept_backlog(sock):
                    nursery.start_soon(connection_handler.handle, connection)
            limiter.closes_connections = True
            await trio.sleep(LATE_REQUEST_WAIT_S)
            await connection_handler.close_idle()
            nursery.cancel_scope.deadline = trio.current_time() + drain_timeout_s


class _ConnectionHandler:
    """Accepts connections and lets hypercorn serve them."""

    def __init__(self, app: AsgiApp, room: ClientRoom, head_timeout_s: float) -> None:
        self._room = room
        self._head_timeout_s = head_timeout_s
        self._stream_by_caller: dict[tuple[str, int], ClientStream] = {}
        middleware = RequestBodyMiddleware(app, self._stream_by_caller.__getitem__)
        self._app = hypercorn.utils.wrap_app(middleware, 0, "asgi")
        self._config = _config()
        self._context = hypercorn.trio.worker_context.WorkerContext(None)

    async def accept(self, sock: socket.socket, nursery: trio.Nursery) -> None:
        """Accept connections until cancelled, and close the socket."""
        async with trio.SocketListener(
            trio.socket.from_stdlib_socket(sock)
        ) as listener:
            admitting = _AdmittingListener(listener, self._room)
            await trio.serve_listeners(
                self.handle, [admitting], handler_nursery=nursery
            )

    async def handle(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it ends."""
        try:
            caller = stream.socket.getpeername()
            client = ClientStream(stream, self._room, self._head_timeout_s)
        except (OSError, TooManyConnectionsError):
            await trio.aclose_forcefully(stream)
            return
        self._stream_by_caller[caller] = client
        try:
            await hypercorn.trio.tcp_server.TCPServer(
                self._app, self._config, self._context, {}, client
            )
        except Exception:
            # It would end the listener, and with it the process.
            logger.exception("web: unexpected error")
        finally:
            await client.aclose()
            if self._stream_by_caller.get(caller) is client:
                del self._stream_by_caller[caller]

    async def close_idle(self) -> None:
        """Close idle connections now, and the others after their response."""
        await self._context.terminated.set()


class _AdmittingListener(trio.abc.Listener[trio.SocketStream]):
    """Accepts a connection once there is room for it, or has been none for a while."""

    def __init__(self, listener: trio.SocketListener, room: ClientRoom) -> None:
        self._listener = listener
        self._room = room

    async def accept(self) -> trio.SocketStream:
        """Return the next connection."""
        stream = await self._listener.accept()
        await self._room.wait_for_connection()
        return stream

    async def aclose(self) -> None:
        """Close the listener."""
        await self._listener.aclose()


def _accept_backlog(sock: socket.socket) -> t.Iterator[trio.SocketStream]:
    """Accept the connections in the kernel's backlog.

    The kernel resets them when the socket is closed.
    """
    while True:
        try:
            connection, _ = sock.accept()
        except BlockingIOError:
            return
        yield trio.SocketStream(trio.socket.from_stdlib_socket(connection))


class _RequestLimiter:
    """ASGI middleware that answers 503 to requests beyond a concurrency limit.

    While there is no room for another connection, one of HTTP/1.1 is closed after its
    response: a client that sends requests ahead would keep it for as long as it likes.

    :ivar closes_connections: close HTTP/1.1 connections after their response, so
        that callers connect to another instance.
    """

    def __init__(self, app: AsgiApp, max_requests: int, room: ClientRoom) -> None:
        self._app = app
        self._max_requests = max_requests
        self._room = room
        self._in_flight = 0
        self.closes_connections = False

    async def __call__(self, scope: t.Any, receive: t.Any, send: t.Any) -> None:
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        is_closing = self.closes_connections or self._room.budget.is_full
        if is_closing and scope["http_version"].startswith("1"):
            send = functools.partial(_send_with_close, send)
        if self._in_flight >= self._max_requests:
            headers = [(b"retry-after", b"1"), (b"x-verdict", b"not_run")]
            start = {"type": "http.response.start", "status": 503, "headers": headers}
            await send(start)
            await send({"type": "http.response.body", "body": b""})
            return
        self._in_flight += 1
        try:
            await self._app(scope, receive, send)
        finally:
            self._in_flight -= 1


async def _send_with_close(send: t.Any, message: dict[str, t.Any]) -> None:
    """Send an ASGI message, with ``Connection: close`` in a response's headers."""
    if message["type"] == "http.response.start":
        headers = [*message.get("headers", ()), (b"connection", b"close")]
        message = {**message, "headers": headers}
    await send(message)


def _config() -> hypercorn.config.Config:
    """Return the configuration of hypercorn.

    Its read timeout is off because it would disconnect a caller that waits for a
    long answer. Its graceful timeout, 3 s by default, is not used because it would
    end longer requests at a planned stop. Callers that send or read nothing are
    disconnected by the options of the listening socket and by the time limit for
    reading a body.
    """
    config = hypercorn.config.Config()
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.max_app_queue_size = QUEUED_BODY_PARTS
    config.read_timeout = None
    config.errorlog = None
    config.include_server_header = False
    return config
