"""Loses, doubles and delays datagrams that this process sends."""

import contextlib
import random
import socket
import threading
import typing as t
from unittest import mock

LOST_SHARE = 0.02
DOUBLED_SHARE = 0.02
DELAYED_SHARE = 0.02
DELAY_S = (0.05, 0.6)


@contextlib.contextmanager
def lossy_datagrams(seed: int) -> t.Iterator[None]:
    """Apply the losses to the sockets of this process.

    :param seed: of the choice of datagrams.
    """
    rng = random.Random(seed)
    send = socket.socket.sendto

    def send_lossily(sock: socket.socket, data: bytes, address: t.Any) -> int:
        chance = rng.random()
        if chance < LOST_SHARE:
            return len(data)
        if chance < LOST_SHARE + DOUBLED_SHARE:
            send(sock, data, address)
        elif chance < LOST_SHARE + DOUBLED_SHARE + DELAYED_SHARE:
            _send_later(send, sock, data, address, rng.uniform(*DELAY_S))
            return len(data)
        return send(sock, data, address)

    with mock.patch.object(socket.socket, "sendto", send_lossily, create=True):
        yield


def _send_later(
    send: t.Callable, sock: socket.socket, data: bytes, address: t.Any, delay_s: float
) -> None:
    def send_unless_closed() -> None:
        with contextlib.suppress(OSError):
            send(sock, data, address)

    timer = threading.Timer(delay_s, send_unless_closed)
    timer.daemon = True
    timer.start()
