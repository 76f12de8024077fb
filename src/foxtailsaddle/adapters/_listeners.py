"""Listening sockets whose connections detect a vanished or stalled client."""

import socket

from .._client_room import RECEIVE_BUFFER_BYTES
from ..core import Listen
from ..errors import AddressInUseError

LISTEN_BACKLOG = 1024
KEEPALIVE_PROBE_COUNT = 3
MS_PER_S = 1000


def open_listener(listen: Listen, idle_timeout_s: float) -> socket.socket:
    """Return a listening socket whose connections are closed by the kernel when idle.

    The web server shields its writes from cancellation, so only the kernel can
    close the connection of a client that reads nothing. TCP_USER_TIMEOUT does so,
    also while the client's receive window is zero. Keepalive probes detect
    clients that have vanished.

    :param idle_timeout_s: time without an acknowledgement from the client after
        which the kernel closes the connection, in seconds.
    :raises AddressInUseError: the address can't be listened on.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    probe_interval_s = max(1, int(idle_timeout_s / (KEEPALIVE_PROBE_COUNT + 1)))
    tcp_options = {
        socket.TCP_KEEPIDLE: probe_interval_s,
        socket.TCP_KEEPINTVL: probe_interval_s,
        socket.TCP_KEEPCNT: KEEPALIVE_PROBE_COUNT,
        socket.TCP_USER_TIMEOUT: int(idle_timeout_s * MS_PER_S),
        socket.TCP_NODELAY: 1,
    }
    for option, value in tcp_options.items():
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    try:
        sock.bind((listen.host, listen.port))
        sock.listen(LISTEN_BACKLOG)
    except OSError as error:
        sock.close()
        raise AddressInUseError(
            f'address "{listen}" can\'t be listened on: {error.strerror}'
        ) from error
    return sock
