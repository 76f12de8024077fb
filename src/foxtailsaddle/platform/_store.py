"""Client of the platform's store: reads, writes and the feed of changes."""

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
from ..ports import HttpReply, PersistentHttpClient, StoredRow, StoredRows
from . import _names as names

CALL_TIMEOUT_S = 2.0
FEED_REPLY_MARGIN_S = 0.7
STATUS_GONE = 410


class HttpStore:
    """Store client that uses one persistent HTTP connection."""

    def __init__(self, client: PersistentHttpClient) -> None:
        self._client = client

    async def read(self, table: str) -> StoredRows:
        """Return all rows of a table, page by page."""
        rows: list[StoredRow] = []
        query = {"table": table, "part": ""}
        while True:
            reply = await self._get(names.ROWS_GET_PATH, query, CALL_TIMEOUT_S)
            page = _decode_json(reply)
            rows += [_decode_row(item) for item in page["rows"]]
            if not page.get("more_pages"):
                return StoredRows(rows, page["ver"], page["now_ms"])
            query["from"] = rows[-1].key + "\0"

    async def changes(self, table: str, after: int, wait_s: float) -> StoredRows:
        """Return the changes of a table after a version.

        Wait up to ``wait_s`` seconds for the first one.

        :raises HistoryGoneError: the store no longer has the changes.
        """
        query = {"table": table, "after": after, "wait_ms": int(wait_s * 1000)}
        reply = await self._get(
            names.ROWS_FEED_PATH, query, wait_s + FEED_REPLY_MARGIN_S
        )
        if reply.status == STATUS_GONE:
            raise HistoryGoneError(
                f'the store no longer has the changes of table "{table}" '
                f"after version {after}"
            )
        page = _decode_json(reply)
        rows = [_decode_row(item) for item in page["rows"]]
        return StoredRows(rows, page["ver"], page["now_ms"])

    async def write(
        self, table: str, value_by_key: dict[str, bytes], deleted_keys: list[str]
    ) -> int:
        """Write and delete rows of a table in one transaction."""
        body = {
            "expected_revision": [],
            "writes": [
                {**_row_key(table, key), "value": base64.b64encode(value).decode()}
                for key, value in value_by_key.items()
            ],
            "delete": [_row_key(table, key) for key in deleted_keys],
        }
        try:
            reply = await self._client.call(
                "POST", names.ROWS_WRITE_PATH, json.dumps(body).encode(), CALL_TIMEOUT_S
            )
        except NothingSentError as error:
            raise PlatformUnavailableError(error.message) from error
        except ExchangeBrokenError as error:
            raise WriteOutcomeUnknownError(error.message) from error
        return _decode_json(reply)["ver"]

    async def aclose(self) -> None:
        """Close the connection."""
        await self._client.aclose()

    async def _get(
        self, path: str, query: dict[str, t.Any], timeout_s: float
    ) -> HttpReply:
        target = f"{path}?{urllib.parse.urlencode(query)}"
        try:
            return await self._client.call("GET", target, None, timeout_s)
        except (NothingSentError, ExchangeBrokenError) as error:
            raise PlatformUnavailableError(error.message) from error


def _row_key(table: str, key: str) -> dict[str, str]:
    return {"table": table, "part": "", "key": key}


def _decode_json(reply: HttpReply) -> dict[str, t.Any]:
    if reply.status != 200:
        raise PlatformUnavailableError(f"the store answered status {reply.status}")
    try:
        return json.loads(reply.body)
    except ValueError as error:
        raise PlatformUnavailableError(
            f"the store's answer is not valid JSON: {error}"
        ) from error


def _decode_row(item: dict[str, t.Any]) -> StoredRow:
    removed = bool(item.get("removed"))
    value = b"" if removed else base64.b64decode(item["value"])
    return StoredRow(item["key"], value, item["ver"], removed)
