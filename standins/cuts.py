"""Cuts the connections between an instance and the endpoints, and nothing else.

The instance's sockets are intercepted in its own process, so that other instances,
clients and the store still reach it and each other. The cut of the present task's
instance applies, so several instances may share a process.
"""

import contextlib
import contextvars
import json
import pathlib
import typing as t
from enum import Enum
from unittest import mock

import trio

POLL_S = 0.02
_SocketType = trio.socket.SocketType.__subclasses__()[0]


class CutKind(Enum):
    """What happens to an instance's connections to endpoints."""

    RESET = "reset"  # open ones are reset, new ones are refused
    HANG = "hang"  # no byte arrives, new ones are not established
    NEW_ONLY = "new_only"  # open ones live on, new ones are refused
    NEW_HANG = "new_hang"  # open ones live on, new ones are not established


class InstanceCut:
    """The connections of one instance to endpoints.

    :ivar addresses: host and port of each endpoint that it is cut off from.
    """

    def __init__(self) -> None:
        self.addresses: set[tuple[str, int]] = set()
        self._kind: CutKind | None = None
        self._open: set[t.Any] = set()
        self._reset: set[t.Any] = set()

    def begin(self, kind: CutKind, addresses: t.Iterable[tuple[str, int]]) -> None:
        """Cut the instance off from endpoints."""
        self.heal()
        self.addresses = set(addresses)
        self._kind = kind
        if kind is not CutKind.RESET:
            return
        for sock in [sock for sock in self._open if sock.fileno() >= 0]:
            self._reset.add(sock)
            with contextlib.suppress(OSError):
                sock.shutdown(trio.socket.SHUT_RDWR)

    def heal(self) -> None:
        """End the cut; connections that hung go on."""
        self.addresses = set()
        self._kind = None

    async def connect(self, sock: t.Any, address: t.Any, original: t.Any) -> None:
        """Connect a socket, unless the cut keeps it from that."""
        if address in self.addresses:
            if self._kind in (CutKind.HANG, CutKind.NEW_HANG):
                await trio.sleep_forever()
            raise ConnectionRefusedError("connection refused by a cut")
        await original(sock, address)
        self._open = {other for other in self._open if other.fileno() >= 0}
        self._open.add(sock)

    async def receive(self, sock: t.Any, original: t.Any, *arguments: t.Any) -> t.Any:
        """Receive bytes on a socket."""
        data = await original(sock, *arguments)
        await self._pass(sock)
        return data

    async def send(self, sock: t.Any, original: t.Any, *arguments: t.Any) -> t.Any:
        """Send bytes on a socket."""
        await self._pass(sock)
        return await original(sock, *arguments)

    async def _pass(self, sock: t.Any) -> None:
        if sock in self._reset:
            raise ConnectionResetError("connection reset by a cut")
        if self._kind is CutKind.HANG and _peer(sock) in self.addresses:
            await self._wait_until_healed()

    async def _wait_until_healed(self) -> None:
        # A cut may be begun and healed by another thread.
        while self._kind is CutKind.HANG:
            await trio.sleep(POLL_S)


def _peer(sock: t.Any) -> t.Any:
    try:
        return sock.getpeername()
    except OSError:
        return None


present_cut: contextvars.ContextVar[InstanceCut | None] = contextvars.ContextVar(
    "present_cut", default=None
)


@contextlib.contextmanager
def intercepted_sockets() -> t.Iterator[None]:
    """Apply the cuts of instances to the sockets of this process."""
    connect, receive = _SocketType.connect, _SocketType.recv
    send = _SocketType.send

    async def cut_connect(sock: t.Any, address: t.Any) -> None:
        cut = present_cut.get()
        if cut is None:
            await connect(sock, address)
        else:
            await cut.connect(sock, address, connect)

    async def cut_receive(sock: t.Any, *arguments: t.Any) -> t.Any:
        cut = present_cut.get()
        if cut is None:
            return await receive(sock, *arguments)
        return await cut.receive(sock, receive, *arguments)

    async def cut_send(sock: t.Any, *arguments: t.Any) -> t.Any:
        cut = present_cut.get()
        if cut is None:
            return await send(sock, *arguments)
        return await cut.send(sock, send, *arguments)

    with (
        mock.patch.object(_SocketType, "connect", cut_connect),
        mock.patch.object(_SocketType, "recv", cut_receive),
        mock.patch.object(_SocketType, "send", cut_send),
    ):
        yield


def write_cut(control: pathlib.Path, kind: str, addresses: t.Iterable[str]) -> None:
    """Tell the process of an instance to cut itself off; no addresses end the cut."""
    content = json.dumps({"kind": kind, "addresses": list(addresses)})
    part = control.with_suffix(".part")
    part.write_text(content)
    part.rename(control)
