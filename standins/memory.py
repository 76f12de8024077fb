"""An in-memory network on which whole fleets run in trio's virtual time.

It implements the HTTP and peer ports of the product. Unlike on a real network,
data is passed over memory channels.
"""

import contextlib
import dataclasses
import typing as t
from urllib.parse import unquote, urlsplit

import trio

from foxtailsaddle.core import Member
from foxtailsaddle.errors import ExchangeBrokenError, NothingSentError
from foxtailsaddle.ports import (
    HttpRequest,
    PeerMessage,
    PeerMessageHandler,
    TakeRoom,
    take_nothing,
)

MAX_CHUNKS_IN_FLIGHT = 64
WALL_START_MS = 1_800_000_000_000


class VirtualClock:
    """The clock port, based on the clock of the trio run."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return trio.current_time()

    def wall_ms(self) -> int:
        """Return the wall-clock time in milliseconds since 1970."""
        return WALL_START_MS + int(trio.current_time() * 1000)


@dataclasses.dataclass
class Host:
    """An ASGI application that is served on the network."""

    app: t.Any
    nursery: trio.Nursery
    listening: bool = True


class Network:
    """The hosts and peers of the in-memory network and its cut links.

    :ivar host_by_address: the HTTP servers.
    :ivar peer_by_address: id and message handler of each instance that listens for
        messages of its peers.
    :ivar cut_pairs: pairs of addresses that can't reach each other.
    """

    def __init__(self, latency_s: float = 0.0005) -> None:
        self.latency_s = latency_s
        self.host_by_address: dict[str, Host] = {}
        self.peer_by_address: dict[str, tuple[str, PeerMessageHandler]] = {}
        self.cut_pairs: set[frozenset[str]] = set()

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether the link between two addresses is cut."""
        return frozenset((one, other)) in self.cut_pairs

    def cut_off(self, one: str, others: t.Iterable[str]) -> None:
        """Cut the links between one address and others."""
        self.cut_pairs |= {frozenset((one, other)) for other in others}

    def heal(self) -> None:
        """Restore all links."""
        self.cut_pairs.clear()


class MemoryResponse:
    """A response whose body arrives over a memory channel."""

    def __init__(
        self,
        status: int,
        headers: dict[str, str],
        body: trio.MemoryReceiveChannel[bytes],
        idle_timeout_s: float,
        url: str,
    ) -> None:
        self.status = status
        self.headers = headers
        self._body_receiver = body
        self._idle_timeout_s = idle_timeout_s
        self._url = url

    async def chunks(self) -> t.AsyncIterator[bytes]:
        """Iterate over the chunks of the body as they arrive."""
        while True:
            chunk = b""
            with trio.move_on_after(self._idle_timeout_s) as scope:
                try:
                    chunk = await self._body_receiver.receive()
                except trio.EndOfChannel:
                    raise ExchangeBrokenError(f'"{self._url}" closed') from None
            if scope.cancelled_caught:
                raise ExchangeBrokenError(f'"{self._url}" went silent')
            if chunk == b"":
                return
            yield chunk

    async def read(self, take_room: TakeRoom = take_nothing) -> bytes:
        """Return the whole body."""
        parts = []
        async for chunk in self.chunks():
            await take_room(len(chunk))
            parts.append(chunk)
        return b"".join(parts)


class MemoryHttpClient:
    """The HTTP client port over the in-memory network.

    :param origin: name of the sender in ``Network.cut_pairs``.
    :ivar alive: false once the process was killed; its requests wait forever.
    """

    def __init__(self, network: Network, origin: str) -> None:
        self._network = network
        self._origin = origin
        self.alive = True

    @contextlib.asynccontextmanager
    async def exchange(self, request: HttpRequest) -> t.AsyncIterator[MemoryResponse]:
        """Send a request and yield its response."""
        while not self.alive:
            await trio.sleep_forever()
        parts = urlsplit(request.url)
        if self._network.is_cut(self._origin, parts.netloc):
            await trio.sleep(request.connect_timeout_s)
            raise NothingSentError(f'"{request.url}" is cut off')
        await trio.sleep(self._network.latency_s)
        host = self._network.host_by_address.get(parts.netloc)
        if host is None or not host.listening:
            raise NothingSentError(f'"{request.url}" refused', connection_refused=True)
        exchange = _Exchange(self._network, self._origin, request, host)
        try:
            yield await exchange.open()
        finally:
            exchange.close()


class _Exchange:
    def __init__(
        self, network: Network, origin: str, request: HttpRequest, host: Host
    ) -> None:
        self._network = network
        self._origin = origin
        self._request = request
        self._host = host
        self._client_closed = trio.Event()
        self._request_sent = False
        self._head_sender, self._head_receiver = trio.open_memory_channel[t.Any](1)
        self._body_sender, self._body_receiver = trio.open_memory_channel[bytes](
            MAX_CHUNKS_IN_FLIGHT
        )

    async def open(self) -> MemoryResponse:
        self._host.nursery.start_soon(self._run_app)
        with trio.move_on_after(self._request.idle_timeout_s):
            try:
                message = await self._head_receiver.receive()
            except trio.EndOfChannel:
                raise ExchangeBrokenError(f'"{self._request.url}" closed') from None
            headers = {
                name.decode().lower(): value.decode()
                for name, value in message.get("headers", [])
            }
            return MemoryResponse(
                message["status"],
                headers,
                self._body_receiver,
                self._request.idle_timeout_s,
                self._request.url,
            )
        raise ExchangeBrokenError(f'"{self._request.url}" went silent')

    def close(self) -> None:
        self._client_closed.set()

    async def _run_app(self) -> None:
        try:
            await self._host.app(self._scope(), self._receive, self._send)
        except Exception as error:
            if not isinstance(error, trio.BrokenResourceError):
                raise
        finally:
            self._head_sender.close()
            self._body_sender.close()

    def _scope(self) -> dict[str, t.Any]:
        parts = urlsplit(self._request.url)
        headers = {
            "host": parts.netloc,
            "content-length": str(len(self._request.body)),
            **self._request.headers,
        }
        return {
            "type": "http",
            "asgi": {"version": "3.0", "spec_version": "2.3"},
            "http_version": "1.1",
            "method": self._request.method,
            "scheme": "http",
            "path": unquote(parts.path),
            "raw_path": parts.path.encode(),
            "query_string": parts.query.encode(),
            "root_path": "",
            "headers": [(k.encode(), v.encode()) for k, v in headers.items()],
            "server": (parts.hostname, parts.port),
        }

    async def _receive(self) -> dict[str, t.Any]:
        if self._request_sent:
            await self._client_closed.wait()
            return {"type": "http.disconnect"}
        self._request_sent = True
        return {
            "type": "http.request",
            "body": self._request.body,
            "more_body": False,
        }

    async def _send(self, message: dict[str, t.Any]) -> None:
        netloc = urlsplit(self._request.url).netloc
        while self._network.is_cut(self._origin, netloc):
            await trio.sleep(0.05)
        if self._client_closed.is_set():
            return
        if message["type"] == "http.response.start":
            await self._head_sender.send(message)
            return
        body = message.get("body", b"")
        if body:
            await self._send_chunk(body)
        if not message.get("more_body", False):
            await self._send_chunk(b"")

    async def _send_chunk(self, chunk: bytes) -> None:
        """Pass a chunk to the client unless it has closed the exchange."""
        while not self._client_closed.is_set():
            with trio.move_on_after(1):
                await self._body_sender.send(chunk)
                return


class MemoryPeerLinks:
    """The peer port over the in-memory network."""

    def __init__(self, network: Network, own_id: str, address: str) -> None:
        self._network = network
        self._own_id = own_id
        self._address = address
        self._nursery: trio.Nursery | None = None

    async def run(self, answer: PeerMessageHandler) -> None:
        """Answer messages of peers until cancelled."""
        self._network.peer_by_address[self._address] = (self._own_id, answer)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await trio.sleep_forever()
            finally:
                self._nursery = None
                del self._network.peer_by_address[self._address]

    def tell(self, member: Member, message: PeerMessage) -> None:
        """Send a message without waiting for a reply."""
        if self._nursery is not None:
            self._nursery.start_soon(self._deliver, member.address, message)

    async def ask(
        self, member: Member, message: PeerMessage, timeout_s: float
    ) -> PeerMessage | None:
        """Send a message and return the reply, ``None`` after the timeout."""
        with trio.move_on_after(timeout_s):
            reply = await self._deliver(member.address, message)
            if reply is not None:
                return reply
            await trio.sleep_forever()
        return None

    async def _deliver(self, address: str, message: PeerMessage) -> PeerMessage | None:
        await trio.sleep(self._network.latency_s)
        peer = self._network.peer_by_address.get(address)
        if peer is None or self._network.is_cut(self._address, address):
            return None
        _, answer = peer
        reply = await answer(self._own_id, message)
        await trio.sleep(self._network.latency_s)
        return reply
