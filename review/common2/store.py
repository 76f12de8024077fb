"""Stand-in for the platform's store: rows, and the feed of their changes."""

import asyncio
import base64
import dataclasses
import json
import time
import typing as t

from .wire import Request, read_request, response

MAX_WAIT_S = 30.0


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of one row.

    :param value: ``None`` if the row was removed.
    """

    version: int
    table: str
    key: str
    value: bytes | None


class Store:
    """The store, which runs in the process of the script.

    :ivar port: where it listens.
    :ivar calls: each call, with the time at which it came.
    :ivar gone_count: feeds that were answered with 410.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self.port = 0
        self.version = 0
        self.calls: list[tuple[float, str]] = []
        self.gone_count = 0
        self._rows: dict[tuple[str, str], Change] = {}
        self._changes: list[Change] = []
        self._oldest_version = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, table: str, key: str, value: t.Any) -> float:
        """Write a row; return when it was acknowledged."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        return self._apply([(table, key, data)])

    def delete(self, table: str, key: str) -> float:
        """Remove a row; return when that was acknowledged."""
        return self._apply([(table, key, None)])

    def forget_history(self) -> None:
        """Discard the history: a feed from an earlier version is answered with 410."""
        self._oldest_version = self.version
        self._changes.clear()
        self._wake()

    def _apply(self, changes: list[tuple[str, str, bytes | None]]) -> float:
        self.version += 1
        for table, key, value in changes:
            change = Change(self.version, table, key, value)
            if value is None:
                self._rows.pop((table, key), None)
            else:
                self._rows[table, key] = change
            self._changes.append(change)
        self._wake()
        return time.monotonic()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                self.calls.append((time.monotonic(), request.target))
                status, fields = await self._answer(request)
                headers = {"Content-Type": "application/json", "Store-Era": "1"}
                body = json.dumps(fields).encode()
                writer.write(response(status, body, headers))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass  # the connection or the script has ended
        finally:
            writer.close()

    async def _answer(self, request: Request) -> tuple[int, dict[str, t.Any]]:
        if request.path == "/rows-tx":
            return self._write(json.loads(request.body))
        if request.path == "/rows-get":
            return self._read(request.query)
        if request.path == "/rows-feed":
            return await self._feed(request.query)
        return 404, {}

    def _write(self, call: dict[str, t.Any]) -> tuple[int, dict[str, t.Any]]:
        for row in call.get("expected_revision", []):
            found = self._rows.get((row["table"], row["key"]))
            if (found.version if found else 0) != row["ver"]:
                return 412, self._fields([])
        changes: list[tuple[str, str, bytes | None]] = [
            (row["table"], row["key"], base64.b64decode(row["value"]))
            for row in call["writes"]
        ]
        changes += [(row["table"], row["key"], None) for row in call["delete"]]
        self._apply(changes)
        return 200, self._fields([])

    def _read(self, query: dict[str, str]) -> tuple[int, dict[str, t.Any]]:
        rows = [
            change
            for (table, key), change in sorted(self._rows.items())
            if table == query["table"] and key >= query.get("from", "")
        ]
        return 200, {**self._fields(rows), "more_pages": False}

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict[str, t.Any]]:
        table, after = query["table"], int(query["after"])
        wait_s = min(MAX_WAIT_S, int(query["wait_ms"]) / 1000)
        ends_at = time.monotonic() + wait_s
        while True:
            if not self._oldest_version <= after <= self.version:
                self.gone_count += 1
                return 410, self._fields([])
            rows = [
                item
                for item in self._changes
                if item.table == table and item.version > after
            ]
            left_s = ends_at - time.monotonic()
            if rows or left_s <= 0:
                return 200, self._fields(rows)
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _fields(self, rows: list[Change]) -> dict[str, t.Any]:
        return {
            "rows": [_row(change) for change in rows],
            "ver": self.version,
            "now_ms": int(time.monotonic() * 1000),
        }


def _row(change: Change) -> dict[str, t.Any]:
    row = {"table": change.table, "part": "", "key": change.key, "ver": change.version}
    if change.value is None:
        return {**row, "removed": True}
    return {**row, "value": base64.b64encode(change.value).decode()}
