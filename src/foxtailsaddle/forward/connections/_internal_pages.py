"""HTTP server for an instance's readiness, metrics and snapshot pages."""

import logging
import math
import typing as t

import h11
import trio

from ..._client_room import ClientRoom
from ...core import ConnectionStage
from ...errors import TooManyConnectionsError
from ..transport import RECEIVE_BYTES, accept, listen, send_all, set_tcp_options

logger = logging.getLogger("foxtailsaddle.control")

IDLE_TIMEOUT_S = 30.0
MAX_CONNECTIONS = 64
MAX_HEAD_BYTES = 16_384


class Page(t.NamedTuple):
    """A response to a GET request."""

    status: int
    body: bytes = b""
    content_type: bytes = b"text/plain"


Pages = t.Mapping[str, t.Callable[[], Page]]


class Tunnel(t.Protocol):
    """Answers a request for a connection to another address, and serves it."""

    async def __call__(
        self, sock: trio.socket.SocketType, http: h11.Connection, request: h11.Request
    ) -> None: ...


async def serve_pages(
    address: str,
    pages: Pages,
    max_connections: int = MAX_CONNECTIONS,
    tunnel: Tunnel | None = None,
) -> None:
    """Serve pages until cancelled.

    :param address: listening address, ``host:port``.
    :param pages: functions that build the response, by path.
    :param max_connections: connections that may be open, tunnels among them.
    :param tunnel: serves ``CONNECT`` requests.
    """
    sock = await listen(address)
    room = ClientRoom(max_connections * MAX_HEAD_BYTES, max_connections)
    async with trio.open_nursery() as nursery:
        while True:
            client = await accept(sock)
            try:
                connection = _PageConnection(client, pages, tunnel, room)
            except TooManyConnectionsError:
                client.close()
            else:
                nursery.start_soon(connection.serve)


class _PageConnection:
    """Serves the requests of one connection."""

    def __init__(
        self,
        sock: trio.socket.SocketType,
        pages: Pages,
        tunnel: Tunnel | None,
        room: ClientRoom,
    ) -> None:
        self._sock = sock
        self._pages = pages
        self._tunnel = tunnel
        self._room = room
        self._holding = room.open(self)
        self._http = h11.Connection(h11.SERVER, MAX_HEAD_BYTES)

    def close_now(self) -> None:
        """Close the connection, to make room for another one."""
        self._sock.close()

    def refuse_rest(self) -> None:
        """Close the connection: no request has a body."""
        self._sock.close()

    async def serve(self) -> None:
        """Serve requests until the connection ends."""
        try:
            set_tcp_options(self._sock)
            await self._serve_requests()
        except (OSError, h11.ProtocolError, trio.ClosedResourceError) as error:
            logger.debug("control: connection ended", extra={"why": str(error)})
        except Exception:
            # It would end the listener, and with it the process.
            logger.exception("control: unexpected error")
        finally:
            self._sock.close()
            self._room.close(self._holding)

    async def _serve_requests(self) -> None:
        with trio.move_on_after(IDLE_TIMEOUT_S) as idle:
            while True:
                request = await self._read_request()
                if request is None:
                    return
                self._room.enter(self._holding, ConnectionStage.READY)
                if self._tunnel is not None and request.method == b"CONNECT":
                    idle.deadline = math.inf
                    await self._tunnel(self._sock, self._http, request)
                    return
                if not await _send_page(self._sock, self._http, self._pages, request):
                    return
                self._http.start_next_cycle()
                idle.deadline = trio.current_time() + IDLE_TIMEOUT_S
                self._room.enter(self._holding, ConnectionStage.IDLE)

    async def _read_request(self) -> h11.Request | None:
        """Return the next request, ``None`` once the client has closed.

        A request with a body is answered nothing: no page takes one.
        """
        request: h11.Request | None = None
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                data = await self._sock.recv(RECEIVE_BYTES)
                self._room.enter(self._holding, ConnectionStage.HEAD)
                self._http.receive_data(data)
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.EndOfMessage):
                return request
            else:
                return None


async def _send_page(
    sock: trio.socket.SocketType,
    http: h11.Connection,
    pages: Pages,
    request: h11.Request,
) -> bool:
    """Send a page; return whether the connection can be used again."""
    path = request.target.decode("latin-1").partition("?")[0]
    page = pages[path]() if path in pages else Page(404)
    headers = [
        (b"content-type", page.content_type),
        (b"content-length", b"%d" % len(page.body)),
    ]
    data = http.send(h11.Response(status_code=page.status, headers=headers))
    if page.body:
        data += http.send(h11.Data(data=page.body))
    data += http.send(h11.EndOfMessage()) or b""
    await send_all(sock, data)
    return http.our_state is h11.DONE and http.their_state is h11.DONE
