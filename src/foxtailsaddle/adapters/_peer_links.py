"""Peer links over TCP: one connection per peer and direction."""

import itertools
import logging
import math

import trio

from ..core import InstanceId, Listen, Member
from ..ports import Ask, PeerMessage
from ._listeners import open_listener
from ._peer_codec import LENGTH_BYTES, MAX_MESSAGE_BYTES, Envelope, decode, encode

logger = logging.getLogger("foxtailsaddle.peers")

OUTBOX_MESSAGES = 1024
CONNECT_S = 1.0
SILENCE_S = 5.0


class TcpPeerLinks:
    """Owns the listening socket and all links to and from peers.

    A link that was silent for ``SILENCE_S`` is closed, since heartbeats cross
    every link that is in use; the next message opens a new one.
    """

    def __init__(self, own_id: InstanceId, listen: Listen) -> None:
        self._own_id = own_id
        self._listen = listen
        self._numbers = itertools.count(1)
        self._outbox_by_address: dict[str, trio.MemorySendChannel[Envelope]] = {}
        self._waiting_by_number: dict[int, trio.MemorySendChannel[PeerMessage]] = {}
        self._nursery: trio.Nursery | None = None
        self._answer: Ask | None = None

    async def run(self, answer: Ask) -> None:
        """Listen and serve links until cancelled."""
        self._answer = answer
        sock = open_listener(self._listen, SILENCE_S)
        listeners = [trio.SocketListener(trio.socket.from_stdlib_socket(sock))]
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await trio.serve_listeners(
                    self._serve, listeners, handler_nursery=nursery
                )
            finally:
                self._nursery = None

    def tell(self, member: Member, message: PeerMessage) -> None:
        """Send a message without waiting; it may be lost."""
        self._send(member.address, Envelope(self._own_id, message))

    async def ask(
        self, member: Member, message: PeerMessage, timeout_s: float
    ) -> PeerMessage | None:
        """Send a message and return the reply, or ``None`` in time."""
        number = next(self._numbers)
        send, receive = trio.open_memory_channel[PeerMessage](1)
        self._waiting_by_number[number] = send
        try:
            self._send(member.address, Envelope(self._own_id, message, id=number))
            with trio.move_on_after(timeout_s):
                return await receive.receive()
            return None
        finally:
            del self._waiting_by_number[number]

    def _send(self, address: str, envelope: Envelope) -> None:
        if self._nursery is None:
            return
        outbox = self._outbox_by_address.get(address)
        if outbox is None:
            outbox, receive = trio.open_memory_channel[Envelope](OUTBOX_MESSAGES)
            self._outbox_by_address[address] = outbox
            self._nursery.start_soon(self._write_link, address, receive)
        try:
            outbox.send_nowait(envelope)
        except trio.WouldBlock:
            logger.warning("peers: outbox full, message dropped", extra={"to": address})

    async def _write_link(
        self, address: str, outbox: trio.MemoryReceiveChannel[Envelope]
    ) -> None:
        host, _, port = address.rpartition(":")
        try:
            with trio.fail_after(CONNECT_S):
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
            with trio.move_on_after(SILENCE_S) as idle:
                envelope = await outbox.receive()
            if idle.cancelled_caught:
                return
            with trio.fail_after(SILENCE_S):
                await stream.send_all(encode(envelope))

    async def _read_replies(
        self, stream: trio.SocketStream, scope: trio.CancelScope
    ) -> None:
        try:
            while (envelope := await _receive(stream, math.inf)) is not None:
                waiting = self._waiting_by_number.get(envelope.reply_to)
                if waiting is not None:
                    waiting.send_nowait(envelope.message)
        except (OSError, ValueError, trio.BrokenResourceError):
            pass
        scope.cancel()

    async def _serve(self, stream: trio.SocketStream) -> None:
        """Answer one peer's messages until its link breaks or goes silent."""
        async with stream, trio.open_nursery() as nursery:
            lock = trio.Lock()
            try:
                while (envelope := await _receive(stream, 2 * SILENCE_S)) is not None:
                    nursery.start_soon(self._reply, stream, lock, envelope)
            except (OSError, ValueError, trio.TooSlowError, trio.BrokenResourceError):
                logger.info("peers: incoming link closed")
            nursery.cancel_scope.cancel()

    async def _reply(
        self, stream: trio.SocketStream, lock: trio.Lock, envelope: Envelope
    ) -> None:
        try:
            reply = await self._answer(envelope.sender, envelope.message)
        except Exception:
            # One peer's message must not end the links of all others.
            logger.exception("peers: message not handled")
            return
        if reply is None or not envelope.id:
            return
        out = encode(Envelope(self._own_id, reply, reply_to=envelope.id))
        try:
            async with lock:
                with trio.fail_after(SILENCE_S):
                    await stream.send_all(out)
        except (OSError, trio.TooSlowError, trio.BrokenResourceError):
            logger.info("peers: reply lost")


async def _receive(stream: trio.SocketStream, timeout_s: float) -> Envelope | None:
    with trio.fail_after(timeout_s):
        head = await _exactly(stream, LENGTH_BYTES)
        if head is None:
            return None
        length = int.from_bytes(head, "big")
        if length > MAX_MESSAGE_BYTES:
            raise ValueError(f"peer message of {length} bytes is too long")
        body = await _exactly(stream, length)
        return decode(body) if body is not None else None


async def _exactly(stream: trio.SocketStream, count: int) -> bytes | None:
    data = bytearray()
    while len(data) < count:
        chunk = await stream.receive_some(count - len(data))
        if not chunk:
            return None
        data += chunk
    return bytes(data)
