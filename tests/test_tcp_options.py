"""Tests that connections outlast short silences and slow readers."""

import socket

import trio

from foxtailsaddle.forward import _sockets

SILENCE_S = 2.0  # for which a sound peer may answer nothing
READER_PAUSE_S = 4.0
BODY_BYTES = 6_000_000


def option(sock, name):
    return sock.getsockopt(socket.IPPROTO_TCP, name)


class TestSilences:
    """Probes and TCP_USER_TIMEOUT give up at the same time, and late enough."""

    # Guards against closing the connection of a peer that is silent for a second.
    def test_a_probe_follows_each_silence_that_is_allowed(self):
        trio.run(self.check_options)

    async def check_options(self):
        sock = trio.socket.socket()
        _sockets.set_tcp_options(sock)
        idle_s = option(sock, socket.TCP_KEEPIDLE)
        interval_s = option(sock, socket.TCP_KEEPINTVL)
        probes = option(sock, socket.TCP_KEEPCNT)
        user_timeout_s = option(sock, socket.TCP_USER_TIMEOUT) / 1000
        assert (probes - 1) * interval_s >= SILENCE_S
        assert user_timeout_s >= idle_s + probes * interval_s
        sock.close()
