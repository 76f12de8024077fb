"""Follows the configuration and the list of endpoints in the store."""

import logging
import random
import typing as t

import trio

from ..core import (
    EndpointId,
    InstanceId,
    is_first_reader,
    retry_pause_s,
    should_read,
)
from ..errors import FoxtailsaddleError, SettingsError
from ..ports import Schema, Store, StoredRow, StoredRows
from ._exchange import KeptCaller
from ._fleet import Fleet
from ._notes import Listed, decode_snapshot
from ._peers import Peer, Peers
from ._table_follower import TableFollower

logger = logging.getLogger("foxtailsaddle.store")

REGISTER_PAUSE_S = 1.0
MIN_FEED_PAUSE_S = 0.1
LIST_FEED_PAUSE_S = 0.4
EXPIRE_EVERY_S = 0.25
BEHIND_S = 0.3  # a configuration that was told of should have arrived by then
LIST_BEHIND_S = 0.9  # longer than the readers' own pauses
CATCH_UP_JITTER_S = 0.05
SNAPSHOT_TIMEOUT_S = 1.0
SNAPSHOT_EVERY_S = 0.7
SNAPSHOT_PATH = "/snapshot"
LEASE_RENEW_S = 30.0
LEASE_MS = 100_000


class Followers:
    """Keeps the fleet's configuration and list current.

    A few instances follow the store and tell the others what changes. While
    the store answers nobody here, both are taken from another instance.
    """

    def __init__(
        self,
        fleet: Fleet,
        peers: Peers,
        schema: Schema,
        new_store: t.Callable[[], Store],
        host: str,
    ) -> None:
        self._fleet = fleet
        self._peers = peers
        self._schema = schema
        self._new_store = new_store
        self._host = host
        self._was_lost = False
        self._behind_since: float | None = None
        self._hint = trio.Event()
        self.configuration = self._follower(
            schema.configuration_table,
            MIN_FEED_PAUSE_S,
            self._take_configuration_rows,
        )
        self.list = self._follower(
            schema.endpoint_table,
            LIST_FEED_PAUSE_S,
            self._take_list_rows,
            self._note_store_back,
        )
        peers.take_listed = self._take_listed
        peers.heard = self._note_heard

    async def run(self) -> None:
        """Follow until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.configuration.run)
            nursery.start_soon(self.list.run)
            nursery.start_soon(self._register)
            nursery.start_soon(self._keep_house)
            nursery.start_soon(self._catch_up_configuration)
            nursery.start_soon(self._borrow_list)

    def _follower(
        self,
        table: str,
        pause_s: float,
        take: t.Callable[[StoredRows, bool], None],
        note_back: t.Callable[[], None] = lambda: None,
    ) -> TableFollower:
        return TableFollower(
            self._new_store(),
            table,
            pause_s,
            take,
            self._may_rest,
            self._own_retry_s,
            note_back,
        )

    def _may_rest(self) -> bool:
        readers = [peer.id for peer in self._peers.readers()]
        return not should_read(self._fleet.instance, readers)

    def _is_first_reader(self) -> bool:
        """Of the readers one tells what changes; the others step in for it."""
        readers = [peer.id for peer in self._peers.readers()]
        return is_first_reader(self._fleet.instance, readers)

    def _own_retry_s(self, pause_s: float) -> float:
        others = [peer.id for peer in self._peers.live()]
        return retry_pause_s(self._fleet.instance, others, pause_s)

    # The configuration.

    def _take_configuration_rows(self, rows: StoredRows, whole: bool) -> None:
        for row in rows.rows:
            if row.key == self._schema.configuration_key and not row.removed:
                self._take_configuration(row.value, "store")

    def _take_configuration(self, value: bytes, source: str) -> None:
        try:
            table = self._schema.configuration(value)
        except SettingsError as error:
            logger.error("settings: not taken", extra={"why": error.message})
            return
        current = self._fleet.table
        if current is not None and table.version <= current.version:
            return
        self._fleet.table = table
        self._fleet.configuration_row = value
        if self._peers.reads:
            self._peers.announce()
        logger.info(
            "settings: in force", extra={"version": table.version, "from": source}
        )

    def _note_heard(self, peer: Peer) -> None:
        table = self._fleet.table
        if peer.configuration > (table.version if table else 0):
            self._hint.set()
        is_ahead = peer.reads and peer.list_version > self._peers.list_version
        if is_ahead and self._behind_since is None:
            self._behind_since = trio.current_time()

    async def _catch_up_configuration(self) -> None:
        """Read the configuration when another instance has a later one."""
        while True:
            await self._hint.wait()
            self._hint = trio.Event()
            await trio.sleep(random.uniform(0, CATCH_UP_JITTER_S))
            ahead = self._ahead()
            if not ahead:
                continue
            if not self.configuration.is_away:
                self.configuration.read_once()
                await trio.sleep(BEHIND_S)
            if ahead := self._ahead():
                await self._fetch(random.choice(ahead).control, with_list=False)

    def _ahead(self) -> list[Peer]:
        table = self._fleet.table
        version = table.version if table else 0
        return [
            peer
            for peer in self._peers.live()
            if peer.control and peer.configuration > version
        ]

    # The list of endpoints.

    def _note_store_back(self) -> None:
        if self._was_lost:
            self._fleet.endpoints.note_store_back(trio.current_time())
        self._was_lost = True

    def _take_list_rows(self, rows: StoredRows, whole: bool) -> None:
        if whole:
            self._replace_list({row.key: row.value for row in rows.rows})
        tells = self._peers.reads and self._is_first_reader()
        for row in () if whole else rows.rows:
            if tells and row.version > self._peers.list_version:
                self._peers.listed(Listed(self._peers.list_version, row))
            self._take_list_row(row)
        known = [row.version for row in rows.rows]
        # What others know of that the store had by now, this instance has too.
        told = [peer.list_version for peer in self._peers.readers()]
        known += [version for version in told if version <= rows.version]
        self._peers.list_version = max([self._peers.list_version, *known])
        self._behind_since = None

    def _take_listed(self, note: Listed) -> None:
        """Take a change that a reader told, if none before it was missed."""
        if note.row.version <= self._peers.list_version:
            return
        if note.after > self._peers.list_version or self.list.version is None:
            return
        self._take_list_row(note.row)
        self._peers.list_version = note.row.version
        self.list.version = max(self.list.version, note.row.version)

    def _take_list_row(self, row: StoredRow) -> None:
        now = trio.current_time()
        endpoint = EndpointId(row.key)
        entry = None
        if row.removed:
            self._fleet.entries.pop(row.key, None)
        else:
            self._fleet.entries[row.key] = row.value
            entry = self._schema.endpoint(row.key, row.value)
        before = self._fleet.endpoints.get(endpoint)
        if entry is None:
            self._fleet.endpoints.remove(endpoint, now)
        else:
            self._fleet.endpoints.put(entry)
        if before is None or entry is None or before.state is not entry.state:
            logger.info(
                "list: changed",
                extra={
                    "endpoint": endpoint,
                    "state": entry.state.value if entry else "gone",
                    "version": row.version,
                },
            )
        self._drop_gone(now)

    def _replace_list(self, values: dict[str, bytes]) -> None:
        self._fleet.entries = dict(values)
        decoded = [self._schema.endpoint(key, value) for key, value in values.items()]
        entries = [entry for entry in decoded if entry is not None]
        self._fleet.endpoints.replace(entries, trio.current_time())
        self._drop_gone(trio.current_time())
        logger.info("list: read", extra={"endpoints": len(entries)})

    def _drop_gone(self, now: float) -> None:
        for endpoint in self._fleet.endpoints.expire(now):
            self._fleet.books.forget(endpoint, now)
            self._fleet.health.forget(endpoint)
            logger.info("list: gone", extra={"endpoint": endpoint})

    # Housekeeping.

    async def _keep_house(self) -> None:
        while True:
            await trio.sleep(EXPIRE_EVERY_S)
            now = trio.current_time()
            self._drop_gone(now)
            is_away = self.list.is_away or self.configuration.is_away
            self._peers.reads = not (is_away or self._may_rest())
            if self._behind_since is None:
                continue
            if now - self._behind_since > LIST_BEHIND_S:
                self._behind_since = None
                self.list.read_once()

    async def _borrow_list(self) -> None:
        """Take the list of an instance that reaches the store."""
        while True:
            await trio.sleep(SNAPSHOT_EVERY_S)
            readers = [peer for peer in self._peers.readers() if peer.control]
            if self.list.is_away and readers:
                await self._fetch(random.choice(readers).control, with_list=True)

    async def _fetch(self, control: str, with_list: bool) -> None:
        caller = KeptCaller(control)
        try:
            reply = await caller.call("GET", SNAPSHOT_PATH, None, SNAPSHOT_TIMEOUT_S)
            snapshot = decode_snapshot(reply.body)
        except (FoxtailsaddleError, ValueError) as error:
            logger.info(
                "peers: no snapshot", extra={"peer": control, "why": str(error)}
            )
            return
        finally:
            await caller.aclose()
        if snapshot.configuration_row:
            self._take_configuration(snapshot.configuration_row, control)
        if with_list and self.list.is_away and snapshot.entries:
            self._replace_list(snapshot.entries)
            self.list.read_anew()

    async def _register(self) -> None:
        """Keep this instance's row in the store, and learn of the others'."""
        store = self._new_store()
        table = self._schema.instance_table
        is_new = True
        while True:
            try:
                rows = await store.read(table)
                stale = self._learn(rows)
                puts = {self._fleet.instance: f"{self._host} {rows.now_ms}".encode()}
                await store.write(table, puts, stale)
                if is_new:
                    # Of two that start together, the later writer sees both rows.
                    self._learn(await store.read(table))
                    is_new = False
            except FoxtailsaddleError as error:
                logger.info("store: not registered", extra={"why": error.message})
                await trio.sleep(self._own_retry_s(REGISTER_PAUSE_S))
                continue
            await trio.sleep(LEASE_RENEW_S)

    def _learn(self, rows: StoredRows) -> list[str]:
        stale = []
        for row in rows.rows:
            host, _, renewed_ms = row.value.decode("latin-1").partition(" ")
            if not renewed_ms.isdecimal() or rows.now_ms - int(renewed_ms) > LEASE_MS:
                stale.append(row.key)
            else:
                self._peers.learn(InstanceId(row.key), host)
        return [key for key in stale if key != self._fleet.instance]
