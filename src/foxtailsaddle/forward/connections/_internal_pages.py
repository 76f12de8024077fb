"""HTTP server for an instance's readiness, metrics and snapshot pages."""

import logging
import math
import typing as t

import h11
import trio

from ..transport import RECEIVE_BYTES, accept, listen, send_all, set_tcp_options

logger = logging.getLogger("foxtailsaddle.control")

IDLE_TIMEOUT_S = 30.0


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


async def serve_pages(address: str, pages: Pages, tunnel: Tunnel | None = None) -> None:
    """Serve pages until cancelled.

    :param address: listening address, ``host:port``.
    :param pages: functions that build the response, by path.
    :param tunnel: serves ``CONNECT`` requests.
    """
    sock = await listen(address)
    async with trio.open_nursery() as nursery:
        while True:
            client = await accept(sock)
            nursery.start_soon(_serve, client, pages, tunnel)


async def _serve(
    sock: trio.socket.SocketType, pages: Pages, tunnel: Tunnel | None
) -> None:
    http = h11.Connection(h11.SERVER)
    try:
        set_tcp_options(sock)
        with trio.move_on_after(IDLE_TIMEOUT_S) as idle:
            while True:
                request = await _read_request(sock, http)
                if request is None:
                    return
                if tunnel is not None and request.method == b"CONNECT":
                    idle.deadline = math.inf
                    await tunnel(sock, http, request)
                    return
                if not await _send_page(sock, http, pages, request):
                    return
                http.start_next_cycle()
                idle.deadline = trio.current_time() + IDLE_TIMEOUT_S
    except (OSError, h11.ProtocolError) as error:
        logger.debug("control: connection ended", extra={"why": str(error)})
    except Exception:
        # It would end the listener, and with it the process.
        logger.exception("control: unexpected error")
    finally:
        sock.close()


async def _read_request(
    sock: trio.socket.SocketType, http: h11.Connection
) -> h11.Request | None:
    """Return the next request, ``None`` once the client has closed."""
    request: h11.Request | None = None
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await sock.recv(RECEIVE_BYTES))
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.EndOfMessage):
            return request
        elif not isinstance(event, h11.Data):
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
