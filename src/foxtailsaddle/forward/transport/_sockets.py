"""TCP sockets that detect a peer that no longer responds."""

import errno
import logging
import select
import socket
import struct
import typing as t

import trio

from ..._client_room import RECEIVE_BUFFER_BYTES
from ...core import parse_address
from ...errors import AddressInUseError, NothingSentError, UnreadableInputError

logger = logging.getLogger("foxtailsaddle.transport")

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3  # a sound peer may answer none for two seconds
USER_TIMEOUT_MS = 1000 * (KEEPALIVE_IDLE_S + KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S)
LISTEN_BACKLOG = 1024
RECEIVE_BYTES = 65536
DISCARD_TIMEOUT_S = 1.0
MAX_DISCARDED_BYTES = 8_388_608
ACCEPT_RETRY_S = 0.05
ACCEPT_AGAIN_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ECONNABORTED)


class Connection(t.Protocol):
    """A connection to a server, which may go through another instance."""

    async def send(self, data: bytes | memoryview) -> int:
        """Send some of the bytes, and return how many."""

    async def recv(self, max_bytes: int) -> bytes:
        """Return the next bytes, none at the orderly end.

        :raises OSError: the connection broke.
        """

    def is_readable(self) -> bool:
        """Return whether bytes or an end have arrived."""

    def close(self) -> None:
        """Close the connection."""


class Connect(t.Protocol):
    """Opens a connection to ``host:port`` within a time in seconds.

    :raises NothingSentError: there is none.
    """

    async def __call__(self, address: str, timeout_s: float) -> Connection: ...


def set_tcp_options(sock: trio.socket.SocketType) -> None:
    """Disable Nagle's algorithm, and close a connection whose peer is unresponsive.

    TCP_USER_TIMEOUT also ends a connection whose sent bytes are not acknowledged. Where
    it is set, it decides when unanswered probes do so, whatever their number.
    """
    set_client_tcp_options(sock)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def set_client_tcp_options(sock: trio.socket.SocketType) -> None:
    """Set the options of a connection from a client, who may read slowly.

    TCP_USER_TIMEOUT would reset it while the client's receive window is full; the
    deadline of the request ends it instead.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


async def connect(address: str, timeout_s: float) -> trio.socket.SocketType:
    """Connect to ``host:port``.

    :raises NothingSentError: no connection within ``timeout_s``, or it was refused, or
        the address can't be used.
    """
    try:
        host_and_port = parse_address(address)
    except UnreadableInputError as error:
        raise NothingSentError(error.message) from error
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        set_tcp_options(sock)
        with trio.move_on_after(timeout_s):
            await sock.connect(host_and_port)
            return sock
    except OSError as error:
        sock.close()
        refused = isinstance(error, ConnectionRefusedError)
        raise NothingSentError(
            f'"{address}" could not be reached: {error}', connection_refused=refused
        ) from error
    except BaseException:
        sock.close()
        raise
    sock.close()
    raise NothingSentError(f'"{address}" could not be reached within {timeout_s:.2f} s')


async def listen(address: str) -> trio.socket.SocketType:
    """Listen on ``host:port``.

    :raises AddressInUseError: another process uses the address, or it does not belong
        to this host.
    """
    host, _, port = address.rpartition(":")
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Connections have it from the listener.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        await sock.bind((host, int(port)))
    except OSError as error:
        sock.close()
        raise AddressInUseError(f'can\'t listen on "{address}": {error}') from error
    sock.listen(LISTEN_BACKLOG)
    return sock


async def accept(listener: trio.socket.SocketType) -> trio.socket.SocketType:
    """Return the next connection; wait while the process has no descriptor for it.

    :raises OSError: the listener is closed or broken.
    """
    while True:
        try:
            connection, _ = await listener.accept()
            return connection
        except OSError as error:
            if error.errno not in ACCEPT_AGAIN_ERRORS:
                raise
            logger.warning("transport: not accepted", extra={"why": str(error)})
            await trio.sleep(ACCEPT_RETRY_S)


async def send_all(sock: Connection, data: bytes) -> None:
    """Send all of ``data``."""
    view = memoryview(data)
    while view:
        view = view[await sock.send(view) :]


async def discard_until_closed(sock: trio.socket.SocketType) -> None:
    """Send the end of the connection and discard what the peer still sends.

    A socket that is closed with unread bytes resets the connection, which can destroy
    a response before the peer has read it. Ends when the peer has closed, or after
    :data:`DISCARD_TIMEOUT_S` or :data:`MAX_DISCARDED_BYTES`.

    :raises OSError: the connection is broken.
    """
    sock.shutdown(socket.SHUT_WR)
    discarded_bytes = 0
    with trio.move_on_after(DISCARD_TIMEOUT_S):
        while discarded_bytes < MAX_DISCARDED_BYTES:
            data = await sock.recv(RECEIVE_BYTES)
            if not data:
                return
            discarded_bytes += len(data)


def has_hung_up(sock: trio.socket.SocketType) -> bool:
    """Return whether the peer has closed, also behind bytes that nobody has read."""
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def reset_on_close(sock: trio.socket.SocketType) -> None:
    """Make the close of a socket reset its connection.

    :raises OSError: the socket is closed already.
    """
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
