"""Stand-in for the platform's store: tables of rows and the feed of their changes."""

import asyncio
import base64
import dataclasses
import json
import time
import typing as t

from .wire import Request, free_port, read_request, reset, send_reply

MAX_PAGE_ROWS = 500


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of one row; the value is ``None`` if the row was dropped."""

    version: int
    table: str
    key: str
    value: bytes | None


class Store:
    """The rows, their history and the store's HTTP API.

    :ivar address: ``host:port``, known once it has started.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._rows: dict[tuple[str, str], Change] = {}
        self._changes: list[Change] = []
        self._version = 0
        self._changed = asyncio.Event()
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        port = free_port(self._host)
        await asyncio.start_server(self._serve, self._host, port)
        self.address = f"{self._host}:{port}"

    def put(self, table: str, key: str, value: t.Any) -> int:
        """Write a row; a value that is not bytes is written as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        return self.apply([(table, key, data)])

    def drop(self, table: str, key: str) -> int:
        """Drop a row."""
        return self.apply([(table, key, None)])

    def apply(self, rows: list[tuple[str, str, bytes | None]]) -> int:
        """Change rows in one transaction; return its version."""
        self._version += 1
        for table, key, value in rows:
            change = Change(self._version, table, key, value)
            self._changes.append(change)
            if value is None:
                self._rows.pop((table, key), None)
            else:
                self._rows[table, key] = change
        self._changed.set()
        self._changed = asyncio.Event()
        return self._version

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                status, fields = await self._answer(request)
                fields |= {"ver": self._version, "now_ms": _now_ms()}
                headers = {"Content-Type": "application/json"}
                await send_reply(writer, status, json.dumps(fields).encode(), headers)
        except OSError:
            pass
        finally:
            reset(writer)

    async def _answer(self, request: Request) -> tuple[int, dict[str, t.Any]]:
        if request.path == "/rows-get":
            return 200, self._page(request.query)
        if request.path == "/rows-feed":
            return 200, {"rows": await self._feed(request.query)}
        if request.path == "/rows-tx":
            return self._transact(json.loads(request.body))
        return 404, {}

    def _page(self, query: dict[str, str]) -> dict[str, t.Any]:
        rows = [
            change
            for (table, key), change in sorted(self._rows.items())
            if table == query["table"] and key >= query.get("from", "")
        ]
        page = [_row(change) for change in rows[:MAX_PAGE_ROWS]]
        return {"rows": page, "more_pages": len(rows) > MAX_PAGE_ROWS}

    async def _feed(self, query: dict[str, str]) -> list[dict[str, t.Any]]:
        ends_at = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            rows = self._changes_since(query["table"], int(query["after"]))
            left_s = ends_at - time.monotonic()
            if rows or left_s <= 0:
                return rows
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                return []

    def _changes_since(self, table: str, after: int) -> list[dict[str, t.Any]]:
        return [
            _row(change)
            for change in self._changes
            if change.table == table and change.version > after
        ]

    def _transact(self, call: dict[str, t.Any]) -> tuple[int, dict[str, t.Any]]:
        for row in call.get("expected_revision", []):
            found = self._rows.get((row["table"], row["key"]))
            if (found.version if found else 0) != row["ver"]:
                return 412, {"rows": []}
        rows: list[tuple[str, str, bytes | None]] = [
            (row["table"], row["key"], base64.b64decode(row["value"]))
            for row in call.get("writes", [])
        ]
        rows += [(row["table"], row["key"], None) for row in call.get("delete", [])]
        if any(table in ("op", "servers") for table, _, _ in rows):
            return 403, {}
        self.apply(rows)
        return 200, {}


def _row(change: Change) -> dict[str, t.Any]:
    row: dict[str, t.Any] = {
        "table": change.table,
        "part": "",
        "key": change.key,
        "ver": change.version,
    }
    if change.value is None:
        return row | {"removed": True}
    return row | {"value": base64.b64encode(change.value).decode()}


def _now_ms() -> int:
    return int(time.monotonic() * 1000)
