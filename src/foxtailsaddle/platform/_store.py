"""The platform's store: rows, and the feed of their changes."""

import base64
import json
import typing as t
import urllib.parse

from ..errors import (
    ExchangeBrokenError,
    HistoryGoneError,
    NothingSentError,
    PlatformUnavailableError,
    WriteOutcomeUnknownError,
)
from ..ports import HttpCaller, HttpReply, StoredRow, StoredRows
from . import _names as names

CALL_TIMEOUT_S = 2.0
FEED_SLACK_S = 0.7
STATUS_GONE = 410


class HttpStore:
    """The store over one kept connection."""

    def __init__(self, caller: HttpCaller) -> None:
        self._caller = caller

    async def read(self, table: str) -> StoredRows:
        """Return all rows of a table, page by page."""
        rows: list[StoredRow] = []
        query = {"table": table, "part": ""}
        while True:
            reply = await self._get(names.ROWS_GET, query, CALL_TIMEOUT_S)
            page = _decoded(reply)
            rows += [_row(item) for item in page["rows"]]
            if not page.get("more_pages"):
                return StoredRows(rows, page["ver"], page["now_ms"])
            query["from"] = rows[-1].key + "\0"

    async def changes(self, table: str, after: int, wait_s: float) -> StoredRows:
        """Wait for changes of a table after a version."""
        query = {"table": table, "after": after, "wait_ms": int(wait_s * 1000)}
        reply = await self._get(names.ROWS_FEED, query, wait_s + FEED_SLACK_S)
        if reply.status == STATUS_GONE:
            raise HistoryGoneError(f'changes of "{table}" after {after} are gone')
        page = _decoded(reply)
        rows = [_row(item) for item in page["rows"]]
        return StoredRows(rows, page["ver"], page["now_ms"])

    async def write(self, table: str, puts: dict[str, bytes], drops: list[str]) -> int:
        """Write and delete rows of a table in one transaction."""
        body = {
            "expected_revision": [],
            "writes": [
                {**_name(table, key), "value": base64.b64encode(value).decode()}
                for key, value in puts.items()
            ],
            "delete": [_name(table, key) for key in drops],
        }
        try:
            reply = await self._caller.call(
                "POST", names.ROWS_TX, json.dumps(body).encode(), CALL_TIMEOUT_S
            )
        except NothingSentError as error:
            raise PlatformUnavailableError(error.message) from error
        except ExchangeBrokenError as error:
            raise WriteOutcomeUnknownError(error.message) from error
        return _decoded(reply)["ver"]

    async def aclose(self) -> None:
        """Close the connection."""
        await self._caller.aclose()

    async def _get(
        self, path: str, query: dict[str, t.Any], timeout_s: float
    ) -> HttpReply:
        target = f"{path}?{urllib.parse.urlencode(query)}"
        try:
            return await self._caller.call("GET", target, None, timeout_s)
        except (NothingSentError, ExchangeBrokenError) as error:
            raise PlatformUnavailableError(error.message) from error


def _name(table: str, key: str) -> dict[str, str]:
    return {"table": table, "part": "", "key": key}


def _decoded(reply: HttpReply) -> dict[str, t.Any]:
    if reply.status != 200:
        raise PlatformUnavailableError(f"the store answered {reply.status}")
    try:
        return json.loads(reply.body)
    except ValueError as error:
        raise PlatformUnavailableError(f"the store's answer: {error}") from error


def _row(item: dict[str, t.Any]) -> StoredRow:
    removed = bool(item.get("removed"))
    value = b"" if removed else base64.b64decode(item["value"])
    return StoredRow(item["key"], value, item["ver"], removed)
