"""Network streams for httpcore that tell a cut connection from a finished one."""

import typing as t

import httpcore

from .._delivery import has_delivered_all


class CheckedNetwork(httpcore.AsyncNetworkBackend):
    """Opens connections whose end counts only once all that was sent has arrived.

    httpcore ignores that a request could not be written, and takes the end that follows
    for the end of a response without a length.

    :param backend: opens the connections; by default that of httpcore.
    """

    def __init__(self, backend: httpcore.AsyncNetworkBackend | None = None) -> None:
        self._backend = backend or httpcore.TrioBackend()

    async def connect_tcp(self, *args: t.Any, **options: t.Any) -> "_CheckedStream":
        """Open a TCP connection."""
        return _CheckedStream(await self._backend.connect_tcp(*args, **options))

    async def connect_unix_socket(
        self, *args: t.Any, **options: t.Any
    ) -> "_CheckedStream":
        """Open a connection to a Unix socket."""
        stream = await self._backend.connect_unix_socket(*args, **options)
        return _CheckedStream(stream)

    async def sleep(self, seconds: float) -> None:
        """Wait for a time in seconds."""
        await self._backend.sleep(seconds)


class _CheckedStream(httpcore.AsyncNetworkStream):
    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._write_error: Exception | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        data = await self._stream.read(max_bytes, timeout)
        if not data and not self._has_delivered_all():
            raise httpcore.ReadError("it ended before all of the request was sent")
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        try:
            await self._stream.write(buffer, timeout)
        except httpcore.WriteError as error:
            self._write_error = error
            raise

    async def aclose(self) -> None:
        await self._stream.aclose()

    async def start_tls(
        self, *args: t.Any, **options: t.Any
    ) -> httpcore.AsyncNetworkStream:
        return await self._stream.start_tls(*args, **options)

    def get_extra_info(self, info: str) -> t.Any:
        return self._stream.get_extra_info(info)

    def _has_delivered_all(self) -> bool:
        if self._write_error is not None:
            return False
        sock = self._stream.get_extra_info("socket")
        return sock is None or has_delivered_all(sock)
