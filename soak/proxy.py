"""A loopback proxy that delays, resets or drops the traffic of connections."""

import enum
import random
import socket
import struct

import trio

CHUNK_BYTES = 16384
DELAY_S = 0.15


class LinkFault(enum.Enum):
    """Faults of a link."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    ONE_WAY = "one_way"  # bytes from the server are dropped
    SILENT = "silent"  # open connections drop all bytes, new ones work


class Link:
    """A proxy for one target address.

    :param target: host and port to which connections are forwarded.
    :param host: address on which the proxy listens.
    """

    def __init__(self, target: tuple[str, int], host: str) -> None:
        self._target = target
        self._host = host
        self.fault = LinkFault.NONE
        self.port = 0
        self._pairs: set[tuple[trio.SocketStream, trio.SocketStream]] = set()
        self._silenced: set[trio.SocketStream] = set()

    @property
    def address(self) -> str:
        """The address ``host:port`` on which the proxy listens."""
        return f"{self._host}:{self.port}"

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Forward connections until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host=self._host)
        self.port = listeners[0].socket.getsockname()[1]
        await trio.serve_listeners(self._serve, listeners, task_status=task_status)

    def inject(self, fault: LinkFault, rng: random.Random) -> None:
        """Start a fault.

        A reset applies once, to a random part of the open connections; silence
        applies to all connections that are open now.
        """
        self.fault = fault
        for pair in list(self._pairs):
            if fault is LinkFault.RESET and rng.random() < 0.7:
                for stream in pair:
                    _reset(stream)
            if fault is LinkFault.SILENT:
                self._silenced |= set(pair)

    async def _serve(self, client: trio.SocketStream) -> None:
        try:
            server = await trio.open_tcp_stream(*self._target)
        except OSError:
            await client.aclose()
            return
        pair = (client, server)
        self._pairs.add(pair)
        try:
            async with client, server, trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, client, server, False, nursery)
                nursery.start_soon(self._pump, server, client, True, nursery)
        finally:
            self._pairs.discard(pair)
            self._silenced -= set(pair)

    async def _pump(self, source, sink, is_response, nursery) -> None:
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                if self.fault is LinkFault.DELAY:
                    await trio.sleep(DELAY_S)
                if source in self._silenced:
                    continue
                if is_response and self.fault is LinkFault.ONE_WAY:
                    continue
                await sink.send_all(data)
            if source not in self._silenced:
                await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            for stream in (source, sink):
                _reset(stream)
            nursery.cancel_scope.cancel()


def _reset(stream: trio.SocketStream) -> None:
    linger = struct.pack("ii", 1, 0)
    try:
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    except OSError:
        return
    stream.socket.close()
