"""Whether the peer of a TCP connection has received what was sent to it."""

import contextlib
import fcntl
import socket
import struct
import termios
import typing as t

UNSENT_COUNT = struct.Struct("i")  # of the system, in bytes


class SocketLike(t.Protocol):
    """The part of a socket that is asked here."""

    def fileno(self) -> int: ...

    def getsockopt(self, level: int, option: int) -> int: ...


def has_delivered_all(sock: SocketLike) -> bool:
    """Return whether the peer has received all that was sent, and nothing is broken.

    A connection that the peer ends before is cut, however orderly its end looks: bytes
    that still arrive there reset it.
    """
    if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return False
    unsent = bytearray(UNSENT_COUNT.size)
    with contextlib.suppress(OSError):  # not all systems count them
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, unsent)
    return UNSENT_COUNT.unpack(unsent) == (0,)
