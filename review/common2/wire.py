"""A minimal HTTP/1.1 server and client for the stand-ins, on asyncio streams."""

import asyncio
import dataclasses
import typing as t
import urllib.parse

MAX_HEAD_BYTES = 65_536


@dataclasses.dataclass
class Request:
    """A request that was read whole."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The fields of the query."""
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2]))


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers, ``None`` at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, ``None`` at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ", 2)
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def response(status: int, body: bytes, headers: t.Mapping[str, str]) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


@dataclasses.dataclass
class Reply:
    """What a client got.

    :ivar status: 0 if the connection ended before the head of the response.
    :ivar is_whole: the response is complete.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False


async def ask(
    host: str, port: int, head: list[str], body: bytes, timeout_s: float
) -> Reply:
    """Send one request on a new connection and return the response."""
    reply = Reply()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            lines = [*head, f"Content-Length: {len(body)}", "Connection: close", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            await read_response(reader, reply)
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return reply


async def read_response(reader: asyncio.StreamReader, reply: Reply) -> None:
    """Read the response to a request; raises if it ends early."""
    head = await read_head(reader)
    if head is None:
        return
    first, reply.headers = head
    reply.status = int(first.split(" ")[1])
    if reply.headers.get("transfer-encoding") == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            reply.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        length = int(reply.headers.get("content-length", "0"))
        reply.body = await reader.readexactly(length)
    reply.is_whole = True
