"""Keeps the configuration and the list of endpoints in sync with the store."""

import dataclasses
import logging
import random
import typing as t

import trio

from ...core import (
    StoreVersion,
    is_first_reader,
    retry_pause_s,
    should_read,
)
from ...ports import Store, StoredRow, StoredRows, StoreSchema
from .._evacuations import expire_evacuations, update_evacuations
from .._fleet import FleetState
from ..peers import ListChanged, Peer, Peers, Snapshot
from ._configuration_sync import ConfigurationSync
from ._list_changes import ListChangeCollector, changes_after
from ._list_rows import ListRowReader
from ._list_updater import ListUpdater
from ._registration import InstanceRegistration
from ._snapshots import fetch_snapshot
from ._table_follower import TableFollower

logger = logging.getLogger("foxtailsaddle.store")

# Pauses after a read that returned changes; each call to the store is charged.
CONFIGURATION_FEED_PAUSE_S = 0.1
LIST_FEED_PAUSE_S = 0.4
MAX_LIST_FEED_PAUSE = 0.2  # of the drain timeout
CLEANUP_INTERVAL_S = 0.25
MIN_FEED_WAIT_S = 1.0
FEED_DETECTION_S = 1.0  # to notice, after a feed's wait, that its connection is silent
LIST_LAG_S = 0.9  # longer than the pauses between a reader's calls
MAX_LIST_LAG = 0.45  # of the drain timeout
READERS_SETTLE_S = 1.7  # after the start, until a reader must have been heard
SNAPSHOT_INTERVAL_S = 0.7


class StoreSync:
    """Keeps the configuration and the list of endpoints current.

    A few instances, the readers, read the store and send its changes to the others.
    An instance that can't reach the store copies both from another instance.

    :param new_store: opens a new connection to the store.
    :param host: address of this instance, for its row in the store.
    :param recovery_timeout_s: seconds after a disruption within which this instance
        must know again what has changed.
    :param drain_timeout_s: seconds within which all instances must know of an endpoint
        that drains.
    :ivar missed_list_changes: how often the list was read from the store, since changes
        that others sent had not arrived.
    """

    def __init__(
        self,
        fleet: FleetState,
        peers: Peers,
        schema: StoreSchema,
        new_store: t.Callable[[], Store],
        host: str,
        drain_timeout_s: float,
        recovery_timeout_s: float,
    ) -> None:
        self._feed_wait_s = max(MIN_FEED_WAIT_S, recovery_timeout_s - FEED_DETECTION_S)
        self._list_lag_s = min(LIST_LAG_S, MAX_LIST_LAG * drain_timeout_s)
        self._fleet = fleet
        self._peers = peers
        self._schema = schema
        self._new_store = new_store
        self._was_connected = False
        self._era: int | None = None
        self.list_rows = ListRowReader(schema)
        self._list = ListUpdater(fleet, self.list_rows)
        self._list_changes = ListChangeCollector()
        self._list_behind_since: float | None = None
        self.missed_list_changes = 0
        self._started_at: float | None = None
        self._configuration = ConfigurationSync(
            fleet,
            peers,
            schema,
            self._is_first_reader,
            lambda address: self._fetch(address, with_list=False),
        )
        self.configuration_follower = self._new_follower(
            schema.configuration_table,
            CONFIGURATION_FEED_PAUSE_S,
            self._apply_configuration_rows,
        )
        self._configuration.follower = self.configuration_follower
        self.list_follower = self._new_follower(
            schema.endpoint_table,
            min(LIST_FEED_PAUSE_S, MAX_LIST_FEED_PAUSE * drain_timeout_s),
            self._apply_list_rows,
            self._record_reconnect,
        )
        self._registration = InstanceRegistration(
            new_store(),
            schema.instance_table,
            fleet.instance,
            host,
            peers.add,
            self._accept_version,
            self._retry_pause_s,
            lambda: peers.reads_store,
        )
        peers.on_rejoined = self._registration.request_renewal
        peers.updates.on_list_changed = self._apply_list_change
        peers.on_datagram_received = self._check_peer_versions

    async def run(self) -> None:
        """Stay in sync until cancelled."""
        if self._started_at is None:
            self._started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.configuration_follower.run)
            nursery.start_soon(self.list_follower.run)
            nursery.start_soon(self._registration.run)
            nursery.start_soon(self._run_cleanup)
            nursery.start_soon(self._configuration.run)
            nursery.start_soon(self._copy_list_while_disconnected)

    def _new_follower(
        self,
        table: str,
        pause_s: float,
        on_rows: t.Callable[[StoredRows, bool], None],
        on_connected: t.Callable[[], None] = lambda: None,
    ) -> TableFollower:
        return TableFollower(
            self._new_store(),
            table,
            self._feed_wait_s,
            pause_s,
            on_rows,
            self._accept_version,
            self._others_read_store,
            self._retry_pause_s,
            on_connected,
        )

    def _others_read_store(self) -> bool:
        """Return whether enough other instances read the store, or are about to."""
        if self._awaits_readers():
            return True
        readers = [peer.id for peer in self._peers.store_readers()]
        return not should_read(self._fleet.instance, readers)

    def _awaits_readers(self) -> bool:
        """Return whether this instance leaves the store to the first in rank.

        Of many instances that start at once, none has heard a reader yet, and all
        would follow the store until they do.
        """
        is_settled = trio.current_time() - self._started_at > READERS_SETTLE_S
        if is_settled:
            return False
        if not self._registration.has_registered:
            return True
        return not should_read(self._fleet.instance, self._peers.known_ids())

    def _is_first_reader(self) -> bool:
        """Return whether this reader is the one that sends changes to all instances."""
        readers = [peer.id for peer in self._peers.store_readers()]
        return is_first_reader(self._fleet.instance, readers)

    def _retry_pause_s(self, pause_s: float) -> float:
        others = [peer.id for peer in self._peers.live()]
        return retry_pause_s(self._fleet.instance, others, pause_s)

    # Restored store.

    def _accept_version(self, version: StoreVersion) -> bool:
        """Return whether a version is of the store's present era, or of a newer one.

        A newer era means that the store was restored from a backup. What was read
        before it is read again, and this instance's row is written again.
        """
        if self._era is None:
            self._era = version.era
        if version.era > self._era:
            self._begin_era(version.era)
        return version.era == self._era

    def _begin_era(self, era: int) -> None:
        logger.warning("store: restored", extra={"era": era, "previous": self._era})
        self._era = era
        self._fleet.endpoints.record_store_reconnect(trio.current_time())
        self.configuration_follower.request_full_read()
        self.list_follower.request_full_read()
        self._registration.request_renewal()

    def _check_peer_versions(self, peer: Peer) -> None:
        """Schedule a read if a peer has a later configuration or list."""
        if peer.list_version.number:
            self._accept_version(peer.list_version)
        self._configuration.check_version(peer)
        is_ahead = peer.reads_store and peer.list_version > self._peers.list_version
        if is_ahead and self._list_behind_since is None:
            self._list_behind_since = trio.current_time()

    def _is_list_behind(self) -> bool:
        """Return whether a reader has a later list."""
        known = self._peers.list_version
        return any(peer.list_version > known for peer in self._peers.store_readers())

    def _apply_configuration_rows(self, rows: StoredRows, is_full: bool) -> None:
        self._registration.record_clock(rows.now_ms)
        self._configuration.apply_rows(rows, is_full)

    # List of endpoints.

    def _record_reconnect(self) -> None:
        """Tell the endpoint list of a reconnect, but not of the first connection."""
        if self._was_connected:
            self._fleet.endpoints.record_store_reconnect(trio.current_time())
        self._was_connected = True

    def _apply_list_rows(self, rows: StoredRows, is_full: bool) -> None:
        """Apply rows of the store.

        :param is_full: the rows are the whole table, not only its changes.
        """
        self._registration.record_clock(rows.now_ms)
        if is_full:
            is_restored = rows.version.era > self._peers.list_version.era
            self._list.replace(rows.rows, rows.version, is_restored)
        is_sender = self._peers.reads_store and self._is_first_reader()
        sent_rows = []
        for row in () if is_full else rows.rows:
            is_usable = self._list.apply_row(row)
            sent_rows.append(row if is_usable else _without_value(row))
        if is_sender:
            for change in changes_after(self._peers.list_version, sent_rows):
                self._peers.outbox.notify_list_changed(change)
        known_versions = [
            row.version for row in rows.rows if row.version <= rows.version
        ]
        # These rows include all changes up to their version, so this instance also
        # has every change that a reader knows of up to that version.
        peer_versions = [peer.list_version for peer in self._peers.store_readers()]
        known_versions += [
            version for version in peer_versions if version <= rows.version
        ]
        first_of_era = StoreVersion(rows.version.era, 0)
        self._peers.list_version = max(
            [self._peers.list_version, first_of_era, *known_versions]
        )
        self._list_behind_since = None

    def _apply_list_change(self, change: ListChanged) -> None:
        """Apply a change that a reader sent, unless a part of it was missed."""
        if self.list_follower.version is None:
            return
        rows = self._list_changes.add(change, self._peers.list_version)
        if not rows:
            return
        for row in rows:
            self._list.apply_row(row)
        self._peers.list_version = change.row.version
        self.list_follower.version = max(self.list_follower.version, change.row.version)
        if not self._is_list_behind():
            self._list_behind_since = None

    # Cleanup and snapshots.

    async def _run_cleanup(self) -> None:
        """Drop expired endpoints, update the reader role, catch up on the list."""
        while True:
            await trio.sleep(CLEANUP_INTERVAL_S)
            now = trio.current_time()
            self._list.forget_expired(now)
            self._fleet.holds.forget_ended_pauses(now)
            expire_evacuations(self._fleet, now)
            self._fleet.cold_starts.is_isolated = (
                self.list_follower.is_disconnected and not self._peers.hears_others()
            )
            is_disconnected = (
                self.list_follower.is_disconnected
                or self.configuration_follower.is_disconnected
            )
            self._peers.reads_store = not (is_disconnected or self._others_read_store())
            self._read_missed_changes(now)

    def _read_missed_changes(self, now: float) -> None:
        """Read the list if changes that a reader has don't arrive."""
        since = self._list_behind_since
        if since is None or now - since <= self._list_lag_s:
            return
        self._list_behind_since = None
        if not self._is_list_behind():
            return
        self.missed_list_changes += 1
        self.list_follower.request_read()
        logger.info(
            "list: changes missed",
            extra={
                "version": self._peers.list_version.number,
                "behind_ms": round((now - since) * 1000),
            },
        )

    async def _copy_list_while_disconnected(self) -> None:
        """Copy the list from a reader while this instance can't reach the store.

        While no instance reaches it, one that has no list copies that of any other.
        """
        while True:
            await trio.sleep(SNAPSHOT_INTERVAL_S)
            if not self.list_follower.is_disconnected:
                continue
            peers = self._peers.store_readers()
            if not peers and not self._fleet.endpoint_rows:
                peers = self._peers.live()
            addresses = [peer.control_address for peer in peers if peer.control_address]
            if addresses:
                await self._fetch(random.choice(addresses), with_list=True)

    async def _fetch(self, control_address: str, with_list: bool) -> None:
        snapshot = await fetch_snapshot(control_address)
        if snapshot is None:
            return
        update_evacuations(
            self._fleet, snapshot.evacuated, control_address, trio.current_time()
        )
        if snapshot.configuration_row:
            self._configuration.apply(snapshot.configuration_row, control_address)
        if with_list and self.list_follower.is_disconnected and snapshot.endpoint_rows:
            self._apply_snapshot_list(snapshot)

    def _apply_snapshot_list(self, snapshot: Snapshot) -> None:
        """Apply another instance's list, unless this instance has a later one."""
        version = snapshot.list_version
        if version < self._peers.list_version or not self._accept_version(version):
            logger.info(
                "peers: outdated list ignored",
                extra={"version": version.number, "era": version.era},
            )
            return
        rows = [
            StoredRow(key, value, version)
            for key, value in snapshot.endpoint_rows.items()
        ]
        is_restored = version.era > self._peers.list_version.era
        self._list.replace(rows, version, is_restored)
        self._peers.list_version = version
        self.list_follower.request_full_read()


def _without_value(row: StoredRow) -> StoredRow:
    """Return a row that names no endpoint to use as one that was removed.

    The others need its version; its value may be too long for a datagram.
    """
    return dataclasses.replace(row, value=b"", removed=True)
