"""Keeps the configuration, and what else the operator writes, in sync with the store.

One reader of the store sends a changed configuration to all other instances, so that
not each of them reads it.
"""

import logging
import random
import typing as t
import zlib

import trio

from ...core import DataCentre, EvacuatedDataCentres
from ...errors import SettingsError
from ...ports import StoredRows, StoreSchema
from .._evacuations import update_evacuations
from .._fleet import FleetState
from ..peers import ConfigurationChanged, Peer, Peers
from ._table_follower import TableFollower

logger = logging.getLogger("foxtailsaddle.store")

CATCH_UP_JITTER_S = 0.05
PUSH_WAIT_S = 0.25  # for the configuration that a reader sends
READ_WAIT_S = 0.3  # for a read of the store, before a peer is asked
MAX_PUSHED_BYTES = 16_384  # compressed; a longer one is read from the store by each
MAX_CONFIGURATION_BYTES = 8_388_608


class ConfigurationSync:
    """Puts configurations and evacuations in force, and passes them on.

    :param is_first_reader: returns whether this instance is the reader that sends
        changes to all others.
    :param fetch: copies the configuration from another instance's control address.
    :ivar follower: follows the configuration's table; set before the first use.
    """

    def __init__(
        self,
        fleet: FleetState,
        peers: Peers,
        schema: StoreSchema,
        is_first_reader: t.Callable[[], bool],
        fetch: t.Callable[[str], t.Awaitable[None]],
    ) -> None:
        self._fleet = fleet
        self._peers = peers
        self._schema = schema
        self._is_first_reader = is_first_reader
        self._fetch = fetch
        self._newer_version_heard = trio.Event()
        self._stored_evacuations: set[DataCentre] = set()
        self.follower: TableFollower | None = None
        peers.updates.on_configuration_changed = self._apply_pushed

    def apply_rows(self, rows: StoredRows, is_full: bool) -> None:
        """Apply rows of the configuration's table.

        :param is_full: the rows are the whole table, not only its changes.
        """
        for row in rows.rows:
            if row.key == self._schema.configuration_key and not row.removed:
                self.apply(row.value, "store")
        self._apply_evacuation_rows(rows, is_full)

    def apply(self, value: bytes, source: str) -> None:
        """Put a configuration in force, unless a later one is.

        :param source: where it comes from, for the log.
        """
        try:
            table = self._schema.decode_configuration(value)
        except SettingsError as error:
            logger.error(
                "settings: invalid configuration ignored", extra={"why": error.message}
            )
            return
        current = self._fleet.route_table
        if current is not None and table.version <= current.version:
            return
        self._fleet.apply_configuration(table, value, trio.current_time())
        if self._peers.reads_store:
            self._pass_on(value)
        logger.info(
            "settings: in force", extra={"version": table.version, "from": source}
        )

    def check_version(self, peer: Peer) -> None:
        """Schedule a read if a peer has a later configuration."""
        table = self._fleet.route_table
        if peer.configuration_version > (table.version if table else 0):
            self._newer_version_heard.set()

    async def run(self) -> None:
        """Get the configuration when another instance has a later version."""
        while True:
            await self._newer_version_heard.wait()
            self._newer_version_heard = trio.Event()
            await trio.sleep(PUSH_WAIT_S + random.uniform(0, CATCH_UP_JITTER_S))
            if not self._peers_ahead():
                continue
            if not self.follower.is_disconnected:
                self.follower.request_read()
                await trio.sleep(READ_WAIT_S)
            if peers_ahead := self._peers_ahead():
                await self._fetch(random.choice(peers_ahead).control_address)

    def _peers_ahead(self) -> list[Peer]:
        """Return the live peers that have a later configuration."""
        table = self._fleet.route_table
        version = table.version if table else 0
        return [
            peer
            for peer in self._peers.live()
            if peer.control_address and peer.configuration_version > version
        ]

    def _pass_on(self, value: bytes) -> None:
        """Send all others a configuration, unless it is too long, and its version."""
        compressed = zlib.compress(value) if self._is_first_reader() else b""
        if 0 < len(compressed) <= MAX_PUSHED_BYTES:
            for first, *others in self._peers.groups():
                update = ConfigurationChanged(compressed, tuple(others))
                self._peers.send_to(first, update)
        self._peers.broadcast_state()

    def _apply_pushed(self, update: ConfigurationChanged) -> None:
        try:
            decompressor = zlib.decompressobj()
            value = decompressor.decompress(update.row, MAX_CONFIGURATION_BYTES)
        except zlib.error as error:
            logger.warning("settings: not readable", extra={"why": str(error)})
            return
        for instance in update.forward_to:
            self._peers.send_to(instance, ConfigurationChanged(update.row))
        self.apply(value, "reader")

    def _apply_evacuation_rows(self, rows: StoredRows, is_full: bool) -> None:
        """Apply the rows by which the operator evacuates data centres."""
        previous = set() if is_full else self._stored_evacuations
        stored = set(previous)
        for row in rows.rows:
            data_centre = self._schema.evacuated_data_centre(row.key)
            if data_centre is None:
                continue
            if row.removed:
                stored.discard(data_centre)
            else:
                stored.add(data_centre)
        self._stored_evacuations = stored
        if not is_full and stored == previous:
            return
        evacuated = EvacuatedDataCentres(rows.version, tuple(sorted(stored)))
        has_changed = update_evacuations(
            self._fleet, evacuated, "store", trio.current_time()
        )
        if has_changed and self._peers.reads_store:
            self._peers.broadcast_state()
