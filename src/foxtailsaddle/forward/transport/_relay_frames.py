"""Framing of the bytes that a relaying instance passes on from an endpoint.

A connection ends in the same way when a relaying process is killed and when an endpoint
closes it, so the end of the endpoint's bytes is marked. Each frame is a length in four
bytes and as many bytes; one of length 0 is the orderly end.
"""

import contextlib

import trio

from ..._delivery import has_delivered_all
from ...core import InstanceId
from ._sockets import RECEIVE_BYTES, send_all

LENGTH_BYTES = 4
END = (0).to_bytes(LENGTH_BYTES, "big")


def frame(data: bytes) -> bytes:
    """Return the frame of some bytes, of which there is at least one."""
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


class RelayedSocket:
    """A connection to an endpoint through another instance, used like a socket.

    :param sock: the connection to the relaying instance.
    :param received: bytes that have arrived on it already.
    :param relay: the relaying instance.
    """

    def __init__(
        self, sock: trio.socket.SocketType, received: bytes, relay: InstanceId
    ) -> None:
        self._sock = sock
        self.relay = relay
        self._buffer = bytearray(received)
        self._frame_left = 0

    async def send(self, data: bytes | memoryview) -> int:
        """Send some of the bytes, and return how many."""
        return await self._sock.send(data)

    async def recv(self, max_bytes: int) -> bytes:
        """Return the next bytes of the endpoint, none at its orderly end.

        :raises ConnectionResetError: the connection ended without it.
        """
        while not self._frame_left:
            length = await self._next_length()
            if not length:
                return b""
            self._frame_left = length
        if not self._buffer:
            await self._receive()
        count = min(max_bytes, self._frame_left, len(self._buffer))
        data = bytes(self._buffer[:count])
        del self._buffer[:count]
        self._frame_left -= count
        return data

    def is_readable(self) -> bool:
        """Return whether bytes or an end have arrived."""
        return bool(self._buffer) or self._sock.is_readable()

    def close(self) -> None:
        """Close the connection; the relaying instance closes that to the endpoint."""
        self._sock.close()

    async def _next_length(self) -> int:
        while len(self._buffer) < LENGTH_BYTES:
            await self._receive()
        length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
        if length:
            del self._buffer[:LENGTH_BYTES]
        return length

    async def _receive(self) -> None:
        data = await self._sock.recv(RECEIVE_BYTES)
        if not data:
            raise ConnectionResetError("the relaying instance broke off")
        self._buffer += data


class RelayedUpload:
    """Passes on the bytes for an endpoint."""

    def __init__(
        self, asker: trio.socket.SocketType, endpoint: trio.socket.SocketType
    ) -> None:
        self._asker = asker
        self._endpoint = endpoint
        self._is_sending = False

    @property
    def is_delivered(self) -> bool:
        """Whether the endpoint has received all that the asking instance has sent."""
        if self._is_sending or self._asker.is_readable():
            return False
        return has_delivered_all(self._endpoint)

    async def run(self, first: bytes) -> None:
        """Pass on bytes until the asking instance closes.

        :param first: bytes that have arrived already.
        """
        with contextlib.suppress(OSError):
            data = first or await self._asker.recv(RECEIVE_BYTES)
            while data:
                self._is_sending = True
                await send_all(self._endpoint, data)
                self._is_sending = False
                data = await self._asker.recv(RECEIVE_BYTES)


async def copy_frames(
    endpoint: trio.socket.SocketType,
    asker: trio.socket.SocketType,
    upload: RelayedUpload,
) -> None:
    """Pass on the bytes of an endpoint in frames, until its orderly end.

    :raises OSError: one of the connections broke, or the endpoint ended it before it
        had received all that was sent.
    """
    while data := await endpoint.recv(RECEIVE_BYTES):
        await send_all(asker, frame(data))
    if not upload.is_delivered:
        raise ConnectionResetError(
            "it was reset or ended before all of the request was sent"
        )
    await send_all(asker, END)
