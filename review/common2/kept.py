"""A client connection that is kept for one request after another."""

import asyncio

from .wire import Reply, read_response


class KeptConnection:
    """A connection of a client to one address.

    :ivar is_open: the last response left it open.
    """

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)
        self.is_open = False
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def ask(self, head: list[str], body: bytes, timeout_s: float) -> Reply:
        """Send one request and return the response; connect first if need be."""
        if not self.is_open:
            streams = await asyncio.open_connection(*self._address)
            self._reader, self._writer = streams
            self.is_open = True
        reply = Reply()
        try:
            async with asyncio.timeout(timeout_s):
                lines = [*head, f"Content-Length: {len(body)}", "", ""]
                self._writer.write("\r\n".join(lines).encode() + body)
                await read_response(self._reader, reply)
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            pass
        if not reply.is_whole or reply.headers.get("connection") == "close":
            self.close()
        return reply

    def close(self) -> None:
        """Close the connection."""
        self.is_open = False
        if self._writer is not None:
            self._writer.close()
