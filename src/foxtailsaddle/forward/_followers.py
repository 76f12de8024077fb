"""Follows the configuration and the list of endpoints in the store."""

import logging
import typing as t

import trio

from ..core import InstanceId
from ..errors import FoxtailsaddleError, HistoryGoneError, SettingsError
from ..ports import Schema, Store, StoredRows
from ._exchange import KeptCaller
from ._fleet import Fleet
from ._notes import decode_snapshot
from ._peers import Peers

logger = logging.getLogger("foxtailsaddle.store")

FEED_WAIT_S = 2.2
RETRY_PAUSE_S = 0.25
MAX_RETRY_PAUSE_S = 1.0
MIN_FEED_PAUSE_S = 0.1
LIST_FEED_PAUSE_S = 0.4
EXPIRE_EVERY_S = 0.25
PEER_CHECK_S = 0.3
SNAPSHOT_TIMEOUT_S = 1.0
SNAPSHOT_PATH = "/snapshot"
LEASE_RENEW_S = 12.0
LEASE_MS = 40_000


class TableFollower:
    """Reads a table, then follows its feed; reads anew when changes were missed.

    :param pause_s: shortest time between two calls, since each call is priced.
    """

    def __init__(
        self,
        store: Store,
        table: str,
        pause_s: float,
        take: t.Callable[[StoredRows, bool], None],
        note_back: t.Callable[[], None] = lambda: None,
    ) -> None:
        self._store = store
        self._table = table
        self._pause_s = pause_s
        self._take = take
        self._note_back = note_back
        self.is_away = True
        self._version: int | None = None
        self._retry_s = RETRY_PAUSE_S

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            try:
                await self._step()
            except HistoryGoneError as error:
                logger.info(
                    "store: reads anew",
                    extra={"table": self._table, "why": error.message},
                )
                self._version = None
            except FoxtailsaddleError as error:
                await self._lost(error)

    async def _step(self) -> None:
        if self._version is None:
            rows = await self._store.read(self._table)
            whole = True
        else:
            rows = await self._store.changes(self._table, self._version, FEED_WAIT_S)
            whole = False
        self._regained()
        self._version = rows.version
        if rows.rows or whole:
            self._take(rows, whole)
        await trio.sleep(self._pause_s if rows.rows else 0)

    def _regained(self) -> None:
        self._retry_s = RETRY_PAUSE_S
        if self.is_away:
            self.is_away = False
            self._note_back()
            logger.info("store: reached", extra={"table": self._table})

    async def _lost(self, error: FoxtailsaddleError) -> None:
        if not self.is_away:
            logger.warning(
                "store: lost", extra={"table": self._table, "why": error.message}
            )
        self.is_away = True
        await trio.sleep(self._retry_s)
        self._retry_s = min(MAX_RETRY_PAUSE_S, self._retry_s * 1.5)


class Followers:
    """Keeps the fleet's configuration and list current.

    While the store does not answer, both are taken from another instance.
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
        self.configuration = TableFollower(
            new_store(),
            schema.configuration_table,
            MIN_FEED_PAUSE_S,
            self._take_configuration_rows,
        )
        self.list = TableFollower(
            new_store(),
            schema.endpoint_table,
            LIST_FEED_PAUSE_S,
            self._take_list_rows,
            self._note_store_back,
        )
        self._was_lost = False

    async def run(self) -> None:
        """Follow until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.configuration.run)
            nursery.start_soon(self.list.run)
            nursery.start_soon(self._register)
            nursery.start_soon(self._expire)
            nursery.start_soon(self._follow_peers)

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
        logger.info(
            "settings: in force", extra={"version": table.version, "from": source}
        )

    def _note_store_back(self) -> None:
        if self._was_lost:
            self._fleet.endpoints.note_store_back(trio.current_time())
        self._was_lost = True

    def _take_list_rows(self, rows: StoredRows, whole: bool) -> None:
        now = trio.current_time()
        if whole:
            entries = {row.key: row.value for row in rows.rows}
            self._replace_list(entries)
            return
        for row in rows.rows:
            entry = None
            if row.removed:
                self._fleet.entries.pop(row.key, None)
            else:
                self._fleet.entries[row.key] = row.value
                entry = self._schema.endpoint(row.key, row.value)
            before = self._fleet.endpoints.get(t.cast(t.Any, row.key))
            if entry is None:
                self._fleet.endpoints.remove(t.cast(t.Any, row.key), now)
            else:
                self._fleet.endpoints.put(entry)
            if before is None or entry is None or before.state is not entry.state:
                logger.info(
                    "list: changed",
                    extra={
                        "endpoint": row.key,
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

    async def _expire(self) -> None:
        while True:
            await trio.sleep(EXPIRE_EVERY_S)
            self._drop_gone(trio.current_time())

    def _drop_gone(self, now: float) -> None:
        for endpoint in self._fleet.endpoints.expire(now):
            self._fleet.books.forget(endpoint, now)
            self._fleet.health.forget(endpoint)
            logger.info("list: gone", extra={"endpoint": endpoint})

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
                await trio.sleep(MAX_RETRY_PAUSE_S)
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

    async def _follow_peers(self) -> None:
        """Take what another instance has and this one lacks."""
        while True:
            await trio.sleep(PEER_CHECK_S)
            table = self._fleet.table
            version = table.version if table else 0
            peers = [peer for peer in self._peers.live() if peer.control]
            ahead = [peer for peer in peers if peer.configuration > version]
            if ahead:
                await self._fetch(ahead[0].control, with_list=self.list.is_away)
            elif self.list.is_away and peers:
                await self._fetch(peers[0].control, with_list=True)
                await trio.sleep(1 - PEER_CHECK_S)

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
