"""Connects to endpoints, directly or through another instance.

The other instance only passes on bytes: which endpoint gets a request, whether it may
have run and whether it may be repeated is decided here, as with a direct connection.
"""

import dataclasses
import logging
import random
import typing as t

import trio

from ...core import DataCentre
from ...errors import NothingSentError
from .._fleet import FleetState
from ..peers import NO_INSTANCE, Peer, Peers
from ..transport import Connection, connect
from ._relay_client import RelayClient, RelayFailedError

logger = logging.getLogger("foxtailsaddle.paths")

DIRECT_HEAD_START_S = 0.15  # before another instance is asked beside
RELAY_TIMEOUT_S = 0.35  # of one instance that is asked
MAX_RELAYS = 4  # instances asked for one connection
RELAY_STAGGER_S = 0.07  # between the requests to two of them
RELAY_PAUSE_S = 2.0  # for which others go before an instance that did not connect
DOWN_S = 1.0  # for which an endpoint that others don't reach either isn't asked for
PROBE_INTERVAL_S = 0.5  # between two tries of direct paths
PROBE_TIMEOUT_S = 0.3
MAX_PROBES = 2  # at once while cut off
MAX_CHECKED = 6  # other paths, to check whether any is left
MAX_RETURNING_PROBES = 16  # at once while some endpoint is reached


@dataclasses.dataclass(slots=True)
class _Race:
    """A direct connection and one through another instance, of which one is used.

    :ivar direct_error: why there is no direct connection, once that is known.
    :ivar relay_error: why others don't reach the endpoint either.
    :ivar relay: the instance through which the connection goes.
    """

    connection: Connection | None = None
    direct_error: NothingSentError | None = None
    relay_error: NothingSentError | None = None
    relay: Peer | None = None
    direct_failed: trio.Event = dataclasses.field(default_factory=trio.Event)


class EndpointConnector:
    """Connects to endpoints for one instance.

    :param data_centre: of this instance; others of the same one are preferred.
    :ivar on_connected: called with the address and the seconds that a direct connection
        to an endpoint took.
    """

    def __init__(
        self, fleet: FleetState, peers: Peers, data_centre: DataCentre
    ) -> None:
        self._fleet = fleet
        self._peers = peers
        self._data_centre = data_centre
        self._relay_client = RelayClient(fleet.instance, peers.incarnation)
        self.on_connected: t.Callable[[str, float], None] = lambda _, __: None
        self._doubt_arose = trio.Event()
        self._is_doubt_checked = False
        self._last_relay = NO_INSTANCE
        self._down_until_by_address: dict[str, float] = {}
        self._paused_until_by_process: dict[int, float] = {}

    async def connect(self, address: str, timeout_s: float) -> Connection:
        """Connect to the endpoint at ``host:port``.

        :raises NothingSentError: no connection within ``timeout_s``. Unless other
            instances don't reach the endpoint either, the error is not confirmed.
        """
        race = _Race()
        ends_at = trio.current_time() + timeout_s
        if self._fleet.paths.is_cut(address):
            await self._connect_through_others(address, ends_at, race)
            if race.connection is None:
                await self._connect_directly(address, ends_at, race)
        else:
            await self._run_race(address, ends_at, race)
        if race.connection is None:
            is_sound = await self._decides_alone(address, ends_at - timeout_s, ends_at)
            raise self._error(address, race, is_sound)
        if race.relay is not None:
            self._record_relayed(address, race)
        return race.connection

    async def run(self) -> None:
        """Try cut paths again, a few at a time, and check doubts, until cancelled."""
        while True:
            with trio.move_on_after(PROBE_INTERVAL_S):
                await self._doubt_arose.wait()
            self._doubt_arose = trio.Event()
            was_doubtful = self._fleet.paths.is_doubtful
            async with trio.open_nursery() as nursery:
                for address in self._addresses_to_probe():
                    nursery.start_soon(self._probe, address)
            # A doubt that arose meanwhile is checked next.
            self._is_doubt_checked = was_doubtful and self._fleet.paths.is_doubtful
            self._tell_if_changed()

    def _addresses_to_probe(self) -> list[str]:
        """Return some cut paths, and some others while none seems to be left."""
        paths = self._fleet.paths
        count = MAX_PROBES if paths.is_cut_off else MAX_RETURNING_PROBES
        cut = paths.cut_addresses()
        chosen = random.sample(cut, min(count, len(cut)))
        if paths.is_doubtful:
            listed = {entry.address for entry in self._fleet.configured_endpoints()}
            others = sorted(listed.difference(cut))
            chosen += random.sample(others, min(MAX_CHECKED, len(others)))
        return chosen

    async def _decides_alone(
        self, address: str, began_at: float, ends_at: float
    ) -> bool:
        """Return whether what this instance sees of an endpoint needs no confirmation.

        While it hears no other instance, it may be cut off from endpoints, too, unless
        it reaches another one at the same time.

        :param began_at: when it began to connect to the endpoint.
        """
        if not self._peers.has_relays():
            return True
        if self._peers.live():
            return False
        with trio.move_on_at(ends_at):
            await self._reach_another(address, began_at)
        return self._fleet.paths.was_any_reached(began_at)

    async def _reach_another(self, address: str, since: float) -> None:
        """Connect to some other endpoints, unless one was reached already."""
        paths = self._fleet.paths
        listed = {entry.address for entry in self._fleet.configured_endpoints()}
        others = sorted(listed.difference(paths.cut_addresses(), [address]))
        if paths.was_any_reached(since):
            return
        async with trio.open_nursery() as nursery:

            async def probe(other: str) -> None:
                await self._probe(other)
                if paths.was_any_reached(since):
                    nursery.cancel_scope.cancel()

            for other in random.sample(others, min(MAX_CHECKED, len(others))):
                nursery.start_soon(probe, other)

    async def _probe(self, address: str) -> None:
        if self._fleet.endpoints.at_address(address) is None:
            self._fleet.paths.forget(address)
            return
        try:
            sock = await connect(address, PROBE_TIMEOUT_S)
        except NothingSentError:
            return
        sock.close()
        self._record_reached(address)

    async def _run_race(self, address: str, ends_at: float, race: _Race) -> None:
        async with trio.open_nursery() as nursery:

            async def connect_directly() -> None:
                await self._connect_directly(address, ends_at, race)
                if race.connection is not None:
                    nursery.cancel_scope.cancel()

            async def connect_through_others() -> None:
                with trio.move_on_after(DIRECT_HEAD_START_S):
                    await race.direct_failed.wait()
                await self._connect_through_others(address, ends_at, race)
                if race.connection is not None:
                    nursery.cancel_scope.cancel()

            nursery.start_soon(connect_directly)
            nursery.start_soon(connect_through_others)

    async def _connect_directly(
        self, address: str, ends_at: float, race: _Race
    ) -> None:
        began_at = trio.current_time()
        try:
            sock = await connect(address, max(0.0, ends_at - began_at))
        except NothingSentError as error:
            race.direct_error = error
            race.direct_failed.set()
            self._record_failed(address)
            return
        self.on_connected(address, trio.current_time() - began_at)
        if race.connection is not None:
            sock.close()
            return
        race.connection, race.relay = sock, None
        self._record_reached(address)

    async def _connect_through_others(
        self, address: str, ends_at: float, race: _Race
    ) -> None:
        now = trio.current_time()
        if now < self._down_until_by_address.get(address, 0.0):
            race.relay_error = race.direct_error
            return
        async with trio.open_nursery() as nursery:
            for number, peer in enumerate(self._relays(now)):
                delay_s = number * RELAY_STAGGER_S
                nursery.start_soon(
                    self._try_relay, peer, address, delay_s, ends_at, race, nursery
                )

    async def _try_relay(
        self,
        peer: Peer,
        address: str,
        delay_s: float,
        ends_at: float,
        race: _Race,
        others: trio.Nursery,
    ) -> None:
        """Ask one instance, and cancel the requests to others once it is decided."""
        await trio.sleep(delay_s)
        timeout_s = min(RELAY_TIMEOUT_S, ends_at - trio.current_time())
        if timeout_s <= 0:
            return
        try:
            connection = await self._relay_client.ask(peer, address, timeout_s)
        except RelayFailedError as error:
            if not error.concerns_endpoint:
                self._pause(peer, str(error))
            return
        except NothingSentError as error:
            race.relay_error = error
            self._remember_down(address)
        else:
            if race.connection is not None:
                connection.close()
                return
            race.connection, race.relay = connection, peer
            self._last_relay = peer.id
        others.cancel_scope.cancel()

    def _relays(self, now: float) -> list[Peer]:
        """Return the instances to ask: the last one that could help, then others.

        One of another data centre is among the first: all of this one's may be cut off.
        Those that are about to stop, or could not help lately, are asked only if there
        are no others.
        """
        peers = [
            peer
            for peer in self._peers.live()
            if peer.control_address and not peer.cut_off
        ]
        peers = [peer for peer in peers if not peer.leaving] or peers
        peers = [peer for peer in peers if not self._is_paused(peer, now)] or peers
        random.shuffle(peers)
        near = [peer for peer in peers if peer.data_centre == self._data_centre]
        far = [peer for peer in peers if peer.data_centre != self._data_centre]
        ordered = [*near[:1], *far[:1], *near[1:], *far[1:]]
        ordered.sort(key=lambda peer: peer.id != self._last_relay)
        return ordered[:MAX_RELAYS]

    def _is_paused(self, peer: Peer, now: float) -> bool:
        return self._paused_until_by_process.get(peer.incarnation, 0.0) > now

    def _pause(self, peer: Peer, reason: str) -> None:
        """Ask others before an instance that could not help, for a while."""
        now = trio.current_time()
        self._paused_until_by_process = {
            process: until
            for process, until in self._paused_until_by_process.items()
            if until > now
        }
        self._paused_until_by_process[peer.incarnation] = now + RELAY_PAUSE_S
        logger.info("paths: not relayed", extra={"peer": peer.id, "why": reason})

    def _error(self, address: str, race: _Race, is_sound: bool) -> NothingSentError:
        """Return the error of a connection that could not be established.

        It says that the process of the endpoint has ended only if another instance
        finds that too, or this instance's own view is sound.
        """
        own_error = race.direct_error or race.relay_error
        if race.relay_error is not None:
            is_refused = race.relay_error.connection_refused
            message = f'"{address}" could not be reached, nor by another instance'
            return NothingSentError(message, connection_refused=is_refused)
        message = own_error.message if own_error else f'"{address}" was not reached'
        is_refused = own_error is not None and own_error.connection_refused
        return NothingSentError(
            message, connection_refused=is_refused and is_sound, is_confirmed=is_sound
        )

    def _remember_down(self, address: str) -> None:
        """Ask others for an endpoint that they don't reach no more for a while."""
        now = trio.current_time()
        self._down_until_by_address[address] = now + DOWN_S
        for address, until in list(self._down_until_by_address.items()):
            if until <= now:
                del self._down_until_by_address[address]

    def _record_failed(self, address: str) -> None:
        paths = self._fleet.paths
        was_doubtful = paths.is_doubtful
        paths.record_failed(address)
        if paths.is_doubtful and not was_doubtful:
            self._doubt_arose.set()

    def _record_reached(self, address: str) -> None:
        paths = self._fleet.paths
        if paths.record_reached(address, trio.current_time()):
            logger.info("paths: reached directly again", extra={"address": address})
        self._tell_if_changed()

    def _record_relayed(self, address: str, race: _Race) -> None:
        """Record that an endpoint is reached through another instance only.

        What this instance saw of its failures is not the endpoint's.
        """
        self._record_failed(address)
        if self._fleet.paths.record_cut(address, trio.current_time()):
            entry = self._fleet.endpoints.at_address(address)
            if entry is not None:
                self._fleet.health.forget(entry.id)
            why = race.direct_error.message if race.direct_error else "no answer"
            logger.warning(
                "paths: endpoint not reached directly",
                extra={
                    "address": address,
                    "endpoint": entry.id if entry else "",
                    "peer": race.relay.id,
                    "why": why,
                },
            )
        self._tell_if_changed()

    def _tell_if_changed(self) -> None:
        """Tell the others at once whether this instance can relay connections."""
        paths = self._fleet.paths
        is_cut_off = paths.is_cut_off or (paths.is_doubtful and self._is_doubt_checked)
        if is_cut_off == self._peers.cut_off:
            return
        self._peers.cut_off = is_cut_off
        self._peers.broadcast_state()
        cut = len(paths.cut_addresses())
        since_ms = round((trio.current_time() - paths.cut_since) * 1000) if cut else 0
        logger.warning(
            "paths: cut off" if is_cut_off else "paths: no longer cut off",
            extra={"relayed_endpoints": cut, "since_ms": since_ms},
        )
