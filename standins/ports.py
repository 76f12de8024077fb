"""Addresses for processes of a test that no other test can take meanwhile."""

import os
import socket

HOST = "127.0.0.1"
FIRST_NETWORK = 64
NETWORKS = 128  # from 127.64.0.0 to 127.191.255.255, one /24 for each process


class PortReservation:
    """Reserved TCP ports of one host.

    Each port is bound, without listening, until the reservation is closed. Listeners
    with SO_REUSEADDR can use it, but the system gives it to no one else.
    """

    def __init__(self, count: int, host: str = HOST) -> None:
        self._sockets = [_bound_socket(host) for _ in range(count)]
        self.ports = [sock.getsockname()[1] for sock in self._sockets]

    def __enter__(self) -> "PortReservation":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def close(self) -> None:
        """Give the ports back."""
        for sock in self._sockets:
            sock.close()


def loopback_network() -> str:
    """Return the first three numbers of loopback addresses of this process alone."""
    pid = os.getpid()
    return f"127.{FIRST_NETWORK + (pid >> 8) % NETWORKS}.{pid & 0xFF}"


def _bound_socket(host: str) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, 0))
    return sock
