"""Links between instances over TCP, one connection per peer and direction."""

import itertools
import logging
import math

import trio

from .._client_room import ClientRoom
from .._tasks import log_unexpected
from ..core import ConnectionStage, InstanceId, Listen, Member
from ..errors import FoxtailsaddleError, TooManyConnectionsError
from ..ports import PeerMessage, PeerMessageHandler, TakeRoom, take_nothing
from ._listeners import open_listener
from ._peer_codec import (
    LENGTH_PREFIX_BYTES,
    MAX_MESSAGE_BYTES,
    Envelope,
    decode,
    encode,
)

logger = logging.getLogger("foxtailsaddle.peers")

OUTBOX_CAPACITY = 1024
CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 5.0
RECEIVE_BYTES = 65_536
MAX_LINKS = 2000
MAX_MESSAGES_BYTES = 64_000_000
LINK_ERRORS = (
    OSError,
    ValueError,
    FoxtailsaddleError,
    trio.TooSlowError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


class TcpPeerLinks:
    """Owns the listening socket and all links to and from peers.

    Heartbeats cross every link that is in use, so a link without traffic for
    ``IDLE_TIMEOUT_S`` is closed. The next message opens a new one.

    :param room: room for the links from others and for what they send.
    """

    def __init__(
        self,
        own_id: InstanceId,
        listen: Listen,
        room: ClientRoom | None = None,
    ) -> None:
        self._own_id = own_id
        self._listen = listen
        self._room = room or ClientRoom(MAX_MESSAGES_BYTES, MAX_LINKS)
        self._request_ids = itertools.count(1)
        self._outbox_by_address: dict[str, trio.MemorySendChannel[Envelope]] = {}
        self._reply_channel_by_request_id: dict[
            int, trio.MemorySendChannel[PeerMessage]
        ] = {}
        self._nursery: trio.Nursery | None = None
        self._handle_message: PeerMessageHandler | None = None

    async def run(self, handler: PeerMessageHandler) -> None:
        """Accept and serve links until cancelled."""
        self._handle_message = handler
        sock = open_listener(self._listen, IDLE_TIMEOUT_S)
        listeners = [trio.SocketListener(trio.socket.from_stdlib_socket(sock))]
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await trio.serve_listeners(
                    self._serve_link, listeners, handler_nursery=nursery
                )
            finally:
                self._nursery = None

    def tell(self, member: Member, message: PeerMessage) -> None:
        """Send a message without waiting; it may be lost."""
        self._send(member.address, Envelope(self._own_id, message))

    async def ask(
        self, member: Member, message: PeerMessage, timeout_s: float
    ) -> PeerMessage | None:
        """Send a message and return the reply, or ``None`` after the timeout."""
        request_id = next(self._request_ids)
        send, receive = trio.open_memory_channel[PeerMessage](1)
        self._reply_channel_by_request_id[request_id] = send
        try:
            self._send(member.address, Envelope(self._own_id, message, id=request_id))
            with trio.move_on_after(timeout_s):
                return await receive.receive()
            return None
        finally:
            del self._reply_channel_by_request_id[request_id]

    def _send(self, address: str, envelope: Envelope) -> None:
        if self._nursery is None:
            return
        outbox = self._outbox_by_address.get(address)
        if outbox is None:
            outbox, receive = trio.open_memory_channel[Envelope](OUTBOX_CAPACITY)
            self._outbox_by_address[address] = outbox
            self._nursery.start_soon(log_unexpected, self._write_link, address, receive)
        try:
            outbox.send_nowait(envelope)
        except trio.WouldBlock:
            logger.warning("peers: outbox full, message dropped", extra={"to": address})

    async def _write_link(
        self, address: str, outbox: trio.MemoryReceiveChannel[Envelope]
    ) -> None:
        host, _, port = address.rpartition(":")
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(host, int(port))
            async with stream, trio.open_nursery() as nursery:
                nursery.start_soon(self._read_replies, stream, nursery.cancel_scope)
                await self._write_all(stream, outbox)
                nursery.cancel_scope.cancel()
        except (OSError, ValueError, trio.TooSlowError, trio.BrokenResourceError):
            logger.info("peers: link closed", extra={"to": address})
        finally:
            self._outbox_by_address.pop(address, None)

    async def _write_all(
        self, stream: trio.SocketStream, outbox: trio.MemoryReceiveChannel[Envelope]
    ) -> None:
        while True:
            with trio.move_on_after(IDLE_TIMEOUT_S) as idle:
                envelope = await outbox.receive()
            if idle.cancelled_caught:
                return
            with trio.fail_after(IDLE_TIMEOUT_S):
                await stream.send_all(encode(envelope))

    async def _read_replies(
        self, stream: trio.SocketStream, scope: trio.CancelScope
    ) -> None:
        try:
            while (envelope := await _read_envelope(stream, math.inf)) is not None:
                self._deliver_reply(envelope)
        except (OSError, ValueError, trio.BrokenResourceError):
            pass
        scope.cancel()

    def _deliver_reply(self, envelope: Envelope) -> None:
        reply_channel = self._reply_channel_by_request_id.get(envelope.reply_to)
        if reply_channel is None:
            return
        try:
            reply_channel.send_nowait(envelope.message)
        except trio.WouldBlock:
            logger.warning(
                "peers: second reply dropped", extra={"from": envelope.sender}
            )

    async def _serve_link(self, stream: trio.SocketStream) -> None:
        """Handle one peer's messages until its link breaks or is idle too long."""
        try:
            link = _IncomingLink(stream, self._room)
        except TooManyConnectionsError:
            await trio.aclose_forcefully(stream)
            return
        async with stream, trio.open_nursery() as nursery:
            write_lock = trio.Lock()
            try:
                while (envelope := await link.read(2 * IDLE_TIMEOUT_S)) is not None:
                    nursery.start_soon(
                        log_unexpected, self._reply, stream, write_lock, envelope
                    )
            except LINK_ERRORS as error:
                logger.info("peers: incoming link closed", extra={"why": str(error)})
            finally:
                link.close()
            nursery.cancel_scope.cancel()

    async def _reply(
        self, stream: trio.SocketStream, write_lock: trio.Lock, envelope: Envelope
    ) -> None:
        try:
            reply = await self._handle_message(envelope.sender, envelope.message)
        except Exception:
            # An error here would cancel the nursery, and with it all links.
            logger.exception("peers: handling a message failed")
            return
        if reply is None or not envelope.id:
            return
        packed_reply = encode(Envelope(self._own_id, reply, reply_to=envelope.id))
        try:
            async with write_lock:
                with trio.fail_after(IDLE_TIMEOUT_S):
                    await stream.send_all(packed_reply)
        except (OSError, trio.TooSlowError, trio.BrokenResourceError):
            logger.info("peers: reply could not be sent")


class _IncomingLink:
    """A link that another instance has opened, within the room for links."""

    def __init__(self, stream: trio.SocketStream, room: ClientRoom) -> None:
        self._stream = stream
        self._room = room
        self._holding = room.open(self)

    def close_now(self) -> None:
        """Close the link, to make room for another one."""
        self._stream.socket.close()

    def refuse_rest(self) -> None:
        """Close the link, whose message has halted."""
        self._stream.socket.close()

    def close(self) -> None:
        """Give back what the link takes."""
        self._room.close(self._holding)

    async def read(self, timeout_s: float) -> Envelope | None:
        """Read one message; ``None`` if the peer closed the link."""
        envelope = await _read_envelope(self._stream, timeout_s, self._take)
        self._room.budget.resize(self._holding, 0)
        # Links that have carried a message are not closed for new ones.
        self._room.enter(self._holding, ConnectionStage.READY)
        return envelope

    async def _take(self, size: int) -> None:
        self._room.enter(self._holding, ConnectionStage.BODY)
        await self._room.take(self._holding, size)


async def _read_envelope(
    stream: trio.SocketStream, timeout_s: float, take: TakeRoom = take_nothing
) -> Envelope | None:
    """Read one message; ``None`` if the peer closed the link.

    :param take: takes room for each part of it.
    """
    with trio.fail_after(timeout_s):
        length_prefix = await _read_exactly(stream, LENGTH_PREFIX_BYTES, take)
        if length_prefix is None:
            return None
        length = int.from_bytes(length_prefix, "big")
        if length > MAX_MESSAGE_BYTES:
            raise ValueError(
                f"peer message of {length} bytes exceeds the maximum message size"
            )
        body = await _read_exactly(stream, length, take)
        return decode(body) if body is not None else None


async def _read_exactly(
    stream: trio.SocketStream, count: int, take: TakeRoom
) -> bytes | None:
    """Read exactly ``count`` bytes; ``None`` if the stream ends before."""
    data = bytearray()
    while len(data) < count:
        chunk = await stream.receive_some(min(count - len(data), RECEIVE_BYTES))
        if not chunk:
            return None
        await take(len(chunk))
        data += chunk
    return bytes(data)
