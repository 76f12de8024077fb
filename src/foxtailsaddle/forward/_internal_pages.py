"""HTTP server for an instance's readiness, metrics and snapshot pages."""

import logging
import typing as t

import h11
import trio

from ._sockets import RECEIVE_BYTES, listen, send_all, set_tcp_options

logger = logging.getLogger("foxtailsaddle.control")

IDLE_TIMEOUT_S = 30.0


class Page(t.NamedTuple):
    """A response to a GET request."""

    status: int
    body: bytes = b""
    content_type: bytes = b"text/plain"


Pages = t.Mapping[str, t.Callable[[], Page]]


async def serve_pages(address: str, pages: Pages) -> None:
    """Serve pages until cancelled.

    :param address: listening address, ``host:port``.
    :param pages: functions that build the response, by path.
    """
    sock = await listen(address)
    async with trio.open_nursery() as nursery:
        while True:
            client, _ = await sock.accept()
            nursery.start_soon(_serve, client, pages)


async def _serve(sock: trio.socket.SocketType, pages: Pages) -> None:
    http = h11.Connection(h11.SERVER)
    try:
        set_tcp_options(sock)
        with trio.move_on_after(IDLE_TIMEOUT_S) as idle:
            while await _serve_one(sock, http, pages):
                http.start_next_cycle()
                idle.deadline = trio.current_time() + IDLE_TIMEOUT_S
    except (OSError, h11.ProtocolError) as error:
        logger.debug("control: connection ended", extra={"why": str(error)})
    finally:
        sock.close()


async def _serve_one(
    sock: trio.socket.SocketType, http: h11.Connection, pages: Pages
) -> bool:
    path = ""
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await sock.recv(RECEIVE_BYTES))
        elif isinstance(event, h11.Request):
            path = event.target.decode("latin-1").partition("?")[0]
        elif isinstance(event, h11.EndOfMessage):
            break
        elif not isinstance(event, h11.Data):
            return False
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
