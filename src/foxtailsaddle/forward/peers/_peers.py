"""Exchanges heartbeats and load updates with the other instances, over UDP."""

import dataclasses
import logging
import random
import secrets
import typing as t

import trio

from ...core import (
    DataCentre,
    InstanceId,
    UpdateSequence,
)
from ...errors import UnreadableInputError
from .._evacuations import update_evacuations
from .._fleet import FleetState
from ._audiences import JobAudiences, shares_engines
from ._datagrams import decode, encode
from ._fitting import encode_fitting, send_fitting
from ._heard_peers import HeardPeers
from ._messages import (
    NO_VERSION,
    DatagramHeader,
    Update,
)
from ._outbox import UpdateOutbox
from ._own_state import granted_limits, refusals, updates_for
from ._peer import NO_DATA_CENTRE, Peer
from ._update_repeats import CHECK_INTERVAL_S, UpdateRepeats, is_numbered
from ._updates import PeerUpdates

logger = logging.getLogger("foxtailsaddle.peers")

READER_HEARTBEAT_S = 0.5
FORGET_AFTER_S = 30.0
UPDATES_PER_DATAGRAM = 12
MAX_DATAGRAM_BYTES = 65535
RECEIVE_PAUSE_S = 0.02  # between two batches
INCARNATION_BITS = 63


class Peers(HeardPeers):
    """Sends this instance's updates to all other instances and applies theirs.

    :param control_address: this instance's address for snapshots.
    :param host: this instance's address for datagrams.
    :param port: UDP port for datagrams, the same on all instances.
    :param data_centre: of this instance.
    :ivar incarnation: number of this process.
    :ivar cut_off: this instance reaches no endpoint itself.
    :ivar updates: applies what peers send.
    :ivar repeats: numbers updates, and mends the loss of one.
    :ivar dropped_datagrams: number of datagrams that could not be read or applied.
    :ivar unsent_datagrams: number of datagrams that the network didn't take.
    :ivar outbox: updates about this instance's work, which are sent to all others.
    :ivar on_datagram_received: called with the sender of each datagram, before the
        updates in it are applied.
    :ivar on_rejoined: called when this instance hears another one, after it has
        forgotten most others because it was cut off from them.
    """

    def __init__(
        self,
        fleet: FleetState,
        control_address: str,
        host: str,
        port: int,
        data_centre: DataCentre = NO_DATA_CENTRE,
    ) -> None:
        super().__init__(fleet.instance)
        self._fleet = fleet
        self._control_address = control_address
        self._address = (host, port)
        self._data_centre = data_centre
        self.incarnation = secrets.randbits(INCARNATION_BITS)
        self._seed_addresses: set[tuple[str, int]] = set()
        self._audiences = JobAudiences(fleet)
        self.outbox = UpdateOutbox()
        self._sock: trio.socket.SocketType | None = None
        self._last_broadcast_at = 0.0
        self._forgotten = 0
        self.cut_off = False
        self.reads_store = False
        self.dropped_datagrams = 0
        self.unsent_datagrams = 0
        self.list_version = NO_VERSION
        self.updates = PeerUpdates(fleet)
        self.repeats = UpdateRepeats(
            fleet,
            lambda peer, update: self._send_all([update], peer.address),
            self._send_own_state,
            self._send_repeats,
        )
        self.on_datagram_received: t.Callable[[Peer], None] = lambda _: None
        self.on_rejoined: t.Callable[[], None] = lambda: None

    @property
    def port(self) -> int:
        """UDP port for datagrams, the same on all instances."""
        return self._address[1]

    def add(self, id: InstanceId, host: str) -> None:
        """Add an instance that the store lists, and send it a datagram."""
        if id == self._fleet.instance:
            return
        address = (host, self.port)
        peer = self._peer_by_id.get(id)
        if peer is None or (peer.address != address and not self._is_live(peer)):
            now = trio.current_time()
            self._peer_by_id[id] = Peer(id, address, added_at=now)
            self._send(address, [], wants_reply=True)

    def add_seed(self, host: str) -> None:
        """Add the address of an instance whose id is not known yet, and greet it."""
        address = (host, self.port)
        if host == self._address[0] or address in self._seed_addresses:
            return
        self._seed_addresses.add(address)
        self._send(address, [], wants_reply=True)

    async def run(self) -> None:
        """Send and receive until cancelled."""
        self._sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        try:
            await self._sock.bind(self._address)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive)
                nursery.start_soon(self._send_updates)
                nursery.start_soon(self._send_heartbeats)
                nursery.start_soon(self._ask_for_missed_updates)
        finally:
            self._sock.close()
            self._sock = None

    def send_to(self, instance: InstanceId, update: Update) -> None:
        """Send an update to one other instance at once."""
        peer = self._peer_by_id.get(instance)
        if peer is not None:
            self._send_all([update], peer.address)

    def broadcast_state(self) -> None:
        """Send this instance's state to all others without waiting for a heartbeat."""
        self._broadcast([])

    def announce_leaving(self) -> None:
        """Send to all others that this instance is about to stop."""
        self.leaving = True
        self._broadcast([])

    async def _send_updates(self) -> None:
        while True:
            await self.outbox.wait()
            while updates := self.outbox.take(UPDATES_PER_DATAGRAM):
                unsent = send_fitting(updates, self._send_to_audiences)
                self.outbox.dropped_updates += unsent

    def _send_to_audiences(self, updates: t.Sequence[Update]) -> None:
        """Send updates; those on jobs go to the instances that share their engines."""
        for_all: list[Update] = []
        for update in updates:
            cells = self._audiences.cells_of(update)
            if cells is None:
                for_all.append(update)
                continue
            header = dataclasses.replace(self._new_header(False), control_address="")
            data = encode_fitting(header, [update])
            for peer in self.live():
                if shares_engines(peer, cells):
                    self._send_bytes(peer.address, data)
        if for_all:
            self._broadcast(for_all)

    async def _ask_for_missed_updates(self) -> None:
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self.repeats.check(self.live())

    async def _send_heartbeats(self) -> None:
        for address in self._seed_addresses:
            self._send(address, [], wants_reply=True)
        while True:
            await trio.sleep(READER_HEARTBEAT_S)
            now = trio.current_time()
            interval_s = READER_HEARTBEAT_S if self.reads_store else self._heartbeat_s
            if now - self._last_broadcast_at >= interval_s:
                self._send_heartbeat()
            self._fleet.engine_loads.expire(now)
            for peer in list(self._peer_by_id.values()):
                self._expire_if_silent(peer, now)

    def _expire_if_silent(self, peer: Peer, now: float) -> None:
        """Drop the jobs of a silent peer, and later the peer itself."""
        if self._is_live(peer):
            return
        if peer.last_heard_at:
            self._fleet.engine_loads.remove_jobs_of(peer.id, now)
        if now - max(peer.last_heard_at, peer.added_at) > FORGET_AFTER_S:
            del self._peer_by_id[peer.id]
            self._forgotten += bool(peer.last_heard_at)
            logger.info("peers: forgotten", extra={"peer": peer.id})

    def _send_heartbeat(self) -> None:
        """Send this instance's state, refused parts and known limits to all others.

        Refusals and limits must reach each instance, also one that missed the first
        datagram.
        """
        self._last_broadcast_at = trio.current_time()
        refused = refusals(self._fleet)[:UPDATES_PER_DATAGRAM]
        granted = granted_limits(self._fleet, self.granting_instance)
        limits = random.sample(granted, min(UPDATES_PER_DATAGRAM, len(granted)))
        repeated = [*refused, *limits]
        data = encode(self._new_header(wants_reply=False), repeated)
        for peer in self._peer_by_id.values():
            self._send_bytes(peer.address, data)

    def _broadcast(self, updates: t.Sequence[Update]) -> None:
        if not self._peer_by_id:
            return
        self._last_broadcast_at = trio.current_time()
        numbered = [item for item in updates if is_numbered(item, self.is_large_fleet)]
        header = self._new_header(False)
        if updates:
            last = self.repeats.last + len(numbered)
            header = dataclasses.replace(
                header,
                control_address="",
                last_update=last,
                update_count=len(numbered),
            )
        data = encode_fitting(header, updates)
        self.repeats.record_sent(numbered)
        for peer in self._peer_by_id.values():
            if not updates or self._is_live(peer):
                self._send_bytes(peer.address, data)

    def _send(
        self, address: tuple[str, int], updates: t.Sequence[Update], wants_reply: bool
    ) -> None:
        data = encode_fitting(self._new_header(wants_reply), updates)
        self._send_bytes(address, data)

    def _send_bytes(self, address: tuple[str, int], data: bytes) -> None:
        if self._sock is None:
            return
        try:
            self._sock._sock.sendto(data, address)
        except OSError as error:
            self.unsent_datagrams += 1
            logger.debug("peers: datagram not sent", extra={"error": str(error)})

    def _new_header(self, wants_reply: bool) -> DatagramHeader:
        table = self._fleet.route_table
        return DatagramHeader(
            sender=self._fleet.instance,
            incarnation=self.incarnation,
            control_address=self._control_address,
            configuration_version=table.version if table else 0,
            leaving=self.leaving,
            reads_store=self.reads_store,
            list_version=self.list_version,
            wants_reply=wants_reply,
            cut_off=self.cut_off,
            data_centre=self._data_centre,
            bounds_cold_starts=True,
            evacuated=self._fleet.evacuations.known,
            numbers_updates=True,
            last_update=self.repeats.last,
        )

    async def _receive(self) -> None:
        while True:
            await trio.lowlevel.wait_readable(self._sock)
            while self._receive_one():
                pass
            if self.is_large_fleet:
                await trio.sleep(RECEIVE_PAUSE_S)

    def _receive_one(self) -> bool:
        """Receive one datagram and apply it; return false if none is left."""
        try:
            data, address = self._sock._sock.recvfrom(MAX_DATAGRAM_BYTES)
            self._apply_datagram(data, address)
        except BlockingIOError:
            return False
        except (OSError, UnreadableInputError) as error:
            self.dropped_datagrams += 1
            logger.warning("peers: datagram dropped", extra={"error": str(error)})
        except Exception:
            # What one of them sends must not end the exchange with all others.
            self.dropped_datagrams += 1
            logger.exception("peers: datagram not applied")
        return True

    def _apply_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        header, updates = decode(data)
        if header.sender == self._fleet.instance:
            return
        peer = self._handle_header(header, address)
        if peer is not None:
            updates = self.repeats.receive(peer, header, updates)
        for update in updates:
            self.updates.apply(header.sender, update)

    def _handle_header(
        self, header: DatagramHeader, address: tuple[str, int]
    ) -> Peer | None:
        """Update the state of a peer and return it.

        Returns ``None`` for a datagram of an earlier process of the peer.
        """
        now = trio.current_time()
        peer = self._peer_by_id.get(header.sender)
        if peer is not None and header.incarnation in peer.ended_incarnations:
            return None
        if peer is None:
            peer = self._peer_by_id[header.sender] = Peer(header.sender, address)
        is_new_process = header.incarnation != peer.incarnation
        is_new = not self._is_live(peer) or is_new_process
        if is_new:
            peer.sequence = UpdateSequence() if header.numbers_updates else None
        if peer.incarnation and is_new_process:
            peer.ended_incarnations.add(peer.incarnation)
            self._fleet.engine_loads.remove_jobs_of(peer.id, now)
        peer.address = address
        peer.last_heard_at = now
        peer.incarnation = header.incarnation
        peer.control_address = header.control_address or peer.control_address
        peer.configuration_version = header.configuration_version
        peer.leaving = header.leaving
        peer.reads_store = header.reads_store
        peer.list_version = header.list_version
        peer.bounds_cold_starts = header.bounds_cold_starts
        update_evacuations(self._fleet, header.evacuated, header.sender, now)
        peer.cut_off = header.cut_off
        peer.data_centre = header.data_centre
        self.on_datagram_received(peer)
        if is_new:
            logger.info("peers: heard", extra={"peer": peer.id})
            if self._forgotten > len(self._peer_by_id):
                self._forgotten = 0
                self.on_rejoined()
            self._send_own_state(peer)
        elif header.wants_reply:
            self._send(address, [], wants_reply=False)
        return peer

    def _send_own_state(self, peer: Peer) -> None:
        """Send running jobs and the evidence on crashes to a peer that has appeared."""
        updates = updates_for(peer, self._fleet, self._audiences)
        starts = range(0, max(1, len(updates)), UPDATES_PER_DATAGRAM)
        for index, start in enumerate(starts):
            part = self.repeats.state_part(index, len(starts))
            batch = updates[start : start + UPDATES_PER_DATAGRAM]
            self._send_all([part, *batch], peer.address)

    def _send_repeats(
        self, peer: Peer, updates: t.Sequence[Update], last: int, count: int
    ) -> None:
        """Send updates to a peer that has missed the numbers up to ``last``."""
        header = dataclasses.replace(
            self._new_header(False), last_update=last, update_count=count
        )
        self._send_bytes(peer.address, encode_fitting(header, updates))

    def _send_all(self, updates: t.Sequence[Update], address: tuple[str, int]) -> None:
        """Send updates to one address, in several datagrams if they are too long."""
        unsent = send_fitting(
            updates, lambda some: self._send(address, some, wants_reply=False)
        )
        self.outbox.dropped_updates += unsent
