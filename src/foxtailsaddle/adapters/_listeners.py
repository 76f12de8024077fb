"""Listening sockets that find out when the other side has gone."""

import socket

from ..core import Listen
from ..errors import AddressInUseError

BACKLOG = 1024
KEEPALIVE_PROBES = 3
MS_PER_S = 1000


def open_listener(listen: Listen, silence_s: float) -> socket.socket:
    """Return a listening socket whose connections end after silence.

    The web server shields its writes from cancellation, so only the kernel can
    cut a caller that takes no bytes: TCP_USER_TIMEOUT does, also while the
    caller's window is closed. Keepalive probes find callers that have gone.

    :raises AddressInUseError: the address can't be listened on.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    probe_s = max(1, int(silence_s / (KEEPALIVE_PROBES + 1)))
    tcp_options = {
        socket.TCP_KEEPIDLE: probe_s,
        socket.TCP_KEEPINTVL: probe_s,
        socket.TCP_KEEPCNT: KEEPALIVE_PROBES,
        socket.TCP_USER_TIMEOUT: int(silence_s * MS_PER_S),
        socket.TCP_NODELAY: 1,
    }
    for option, value in tcp_options.items():
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    try:
        sock.bind((listen.host, listen.port))
        sock.listen(BACKLOG)
    except OSError as error:
        sock.close()
        raise AddressInUseError(
            f'address "{listen}" can\'t be listened on: {error.strerror}'
        ) from error
    return sock
