"""Stand-in for the platform store: tables of rows and a feed of their changes."""

import base64
import collections
import dataclasses
import json
import typing as t

import trio

from .wire import WireConnection, WireRequest, WireServer


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of one row.

    :param at: time of the change, in seconds on trio's clock.
    :param value: ``None`` if the row was removed.
    """

    at: float
    version: int
    table: str
    key: str
    value: bytes | None


@dataclasses.dataclass
class RowsKnobs:
    """Faults of the store.

    :param refuse: HTTP status with which every call is refused; 0 for none.
    :param silent: calls are read and never answered.
    :param slow_s: delay added to each answer, in seconds.
    :param lose_writes: number of the next writes that take effect without being
        answered.
    """

    refuse: int = 0
    silent: bool = False
    slow_s: float = 0.0
    lose_writes: int = 0


class RowStore:
    """The rows, their changes and the store's HTTP API.

    :ivar version: version of the last change.
    :ivar era: number of times that the store was restored, plus one.
    :ivar oldest_version: feeds from before this version are refused.
    :ivar calls: number of calls by path.
    """

    def __init__(self) -> None:
        self.knobs = RowsKnobs()
        self.version = 0
        self.era = 1
        self.oldest_version = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self.rows: dict[tuple[str, str], tuple[int, bytes]] = {}
        self._changes: list[Change] = []
        self._log: list[Change] = []
        self._changed = trio.Event()

    def put(self, table: str, key: str, value: t.Any) -> int:
        """Write a row; a value that is not bytes is written as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        return self._apply([(table, key, data)])

    def delete(self, table: str, key: str) -> int:
        """Delete a row."""
        return self._apply([(table, key, None)])

    def change(self, changes: list[tuple[str, str, bytes | None]]) -> int:
        """Write or delete several rows in one transaction.

        :param changes: table, key and value of each; ``None`` deletes it.
        """
        return self._apply(changes)

    def forget_history(self) -> None:
        """Discard all past changes; a feed that needs them is answered with 410."""
        self.oldest_version = self.version
        self._changes.clear()
        self._wake()

    def restore(self, seconds_back: float) -> None:
        """Return to the state of some seconds ago, in a new era.

        The versions of the changes that are lost are assigned again.
        """
        restored_to = trio.current_time() - seconds_back
        kept = [change for change in self._log if change.at <= restored_to]
        self._log = kept
        self._changes = [change for change in self._changes if change in kept]
        self.version = kept[-1].version if kept else 0
        self.oldest_version = min(self.oldest_version, self.version)
        self.era += 1
        self.rows.clear()
        for change in kept:
            self._set_row(change)
        self._wake()

    async def handle(self, connection: WireConnection, request: WireRequest) -> bool:
        """Answer one call."""
        self.calls[request.path] += 1
        if self.knobs.silent:
            await connection.wait_closed()
            return False
        if self.knobs.refuse:
            return await connection.answer(self.knobs.refuse)
        await trio.sleep(self.knobs.slow_s)
        if request.path == "/rows-tx":
            return await self._write(connection, request)
        if request.path == "/rows-get":
            return await self._read(connection, request)
        if request.path == "/rows-feed":
            return await self._feed(connection, request)
        return await connection.answer(404)

    def _apply(self, changes: list[tuple[str, str, bytes | None]]) -> int:
        self.version += 1
        for table, key, value in changes:
            change = Change(trio.current_time(), self.version, table, key, value)
            self._set_row(change)
            self._changes.append(change)
            self._log.append(change)
        self._wake()
        return self.version

    def _set_row(self, change: Change) -> None:
        if change.value is None:
            self.rows.pop((change.table, change.key), None)
        else:
            self.rows[change.table, change.key] = (change.version, change.value)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def _write(self, connection: WireConnection, request: WireRequest) -> bool:
        call = request.json()
        for row in call.get("expected_revision", []):
            found = self.rows.get((row["table"], row["key"]), (0, b""))
            if found[0] != row["ver"]:
                return await self._reply(connection, 412, rows=[])
        changes: list[tuple[str, str, bytes | None]] = [
            (row["table"], row["key"], base64.b64decode(row["value"]))
            for row in call["writes"]
        ]
        changes += [(row["table"], row["key"], None) for row in call["delete"]]
        self._apply(changes)
        if self.knobs.lose_writes:
            self.knobs.lose_writes -= 1
            await connection.wait_closed()
            return False
        return await self._reply(connection, 200)

    async def _read(self, connection: WireConnection, request: WireRequest) -> bool:
        table, start = request.query["table"], request.query.get("from", "")
        rows = [
            _row(name, key, version, value)
            for (name, key), (version, value) in sorted(self.rows.items())
            if name == table and key >= start
        ]
        return await self._reply(connection, 200, rows=rows, more_pages=False)

    async def _feed(self, connection: WireConnection, request: WireRequest) -> bool:
        table, after = request.query["table"], int(request.query["after"])
        with trio.move_on_after(int(request.query["wait_ms"]) / 1000):
            while self._has_history(after) and not self._changes_since(table, after):
                await self._changed.wait()
        if not self._has_history(after):
            return await self._reply(connection, 410)
        return await self._reply(
            connection, 200, rows=self._changes_since(table, after)
        )

    def _has_history(self, after: int) -> bool:
        return self.oldest_version <= after <= self.version

    def _changes_since(self, table: str, after: int) -> list[dict[str, t.Any]]:
        return [
            _row(change.table, change.key, change.version, change.value)
            for change in self._changes
            if change.table == table and change.version > after
        ]

    async def _reply(
        self, connection: WireConnection, status: int, **fields: t.Any
    ) -> bool:
        now_ms = int(trio.current_time() * 1000)
        body = json.dumps({"ver": self.version, "now_ms": now_ms, **fields})
        headers = {"store-era": str(self.era)}
        return await connection.answer(status, body.encode(), headers)


def _row(table: str, key: str, version: int, value: bytes | None) -> dict[str, t.Any]:
    row = {"table": table, "part": "", "key": key, "ver": version}
    if value is None:
        return row | {"removed": True}
    return row | {"value": base64.b64encode(value).decode()}


def store_server(rows: RowStore, host: str) -> WireServer:
    """Return an HTTP server for the store."""
    return WireServer(rows.handle, host)
