"""HTTP/1.1 over asyncio, as far as the stand-ins need it."""

import asyncio
import dataclasses
import json
import socket
import struct
import typing as t
import urllib.parse

REASON_BY_STATUS = {200: "OK", 410: "Gone", 412: "Precondition Failed"}


@dataclasses.dataclass
class Request:
    """A request with its complete body; header names are in lower case."""

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
        query = self.target.partition("?")[2]
        return dict(urllib.parse.parse_qsl(query, keep_blank_values=True))


@dataclasses.dataclass
class Reply:
    """An answer; status 0 stands for an end of the connection before its end."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> t.Any:
        """Return the body decoded from JSON."""
        return json.loads(self.body)


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers; ``None`` at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request; ``None`` at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ", 2)
    length = int(headers.get("content-length", 0))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Request(method, target, headers, body)


async def send_reply(
    writer: asyncio.StreamWriter,
    status: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> None:
    """Send a complete answer."""
    lines = [f"HTTP/1.1 {status} {REASON_BY_STATUS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
    await writer.drain()


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Return an answer with a length or in chunks."""
    head = await read_head(reader)
    if head is None:
        return Reply(0, {}, b"")
    first, headers = head
    status = int(first.split(" ")[1])
    try:
        if headers.get("transfer-encoding") == "chunked":
            body = await _read_chunks(reader)
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, OSError):
        return Reply(0, headers, b"")
    return Reply(status, headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return body
        body += data[:-2]


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def free_port(host: str, kind: int = socket.SOCK_STREAM) -> int:
    """Return a port of a loopback address that no process uses at present."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]
