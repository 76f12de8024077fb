"""Client of the platform's store: reads, writes and the feed of changes."""

import base64
import dataclasses
import json
import typing as t
import urllib.parse

from .._input_readers import read_count, read_digits, read_int, read_json, reading
from ..core import StoreVersion
from ..errors import (
    ExchangeBrokenError,
    HistoryGoneError,
    NothingSentError,
    PlatformUnavailableError,
    UnreadableInputError,
    WriteOutcomeUnknownError,
)
from ..ports import HttpReply, PersistentHttpClient, StoredRow, StoredRows
from . import _names as names

CALL_TIMEOUT_S = 2.0
FEED_REPLY_MARGIN_S = 0.7
STATUS_GONE = 410
MAX_ERA = 2**32 - 1  # the messages between instances have 32 bits for it
# A page of rows is far smaller; the changes since a version come in one response.
MAX_STORE_RESPONSE_BYTES = 33_554_432


class HttpStore:
    """Store client that uses one persistent HTTP connection."""

    def __init__(self, client: PersistentHttpClient) -> None:
        self._client = client

    async def read(self, table: str) -> StoredRows:
        """Return all rows of a table, page by page.

        The result has the version of the first page: a change that a later page
        already shows is then returned by :meth:`changes` once more, and one that an
        earlier page missed is not lost.
        """
        query = {"table": table, "part": ""}
        first = page = await self._read_page(query)
        rows = list(first.rows)
        while page.has_more:
            query["from"] = rows[-1].key + "\0"
            page = await self._read_page(query)
            if page.version.era != first.version.era:
                raise PlatformUnavailableError(
                    f'the store was restored while table "{table}" was read'
                )
            rows += page.rows
        return StoredRows(rows, first.version, page.now_ms)

    async def changes(
        self, table: str, after: StoreVersion, wait_s: float
    ) -> StoredRows:
        """Return the changes of a table after a version.

        Wait up to ``wait_s`` seconds for the first one.

        :raises HistoryGoneError: the store no longer has the changes.
        """
        query = {"table": table, "after": after.number, "wait_ms": int(wait_s * 1000)}
        reply = await self._get(
            names.ROWS_FEED_PATH, query, wait_s + FEED_REPLY_MARGIN_S
        )
        if reply.status == STATUS_GONE:
            raise HistoryGoneError(
                f'the store no longer has the changes of table "{table}" '
                f"after version {after.number} of era {after.era}"
            )
        page = _decode_page(reply)
        return StoredRows(page.rows, page.version, page.now_ms)

    async def write(
        self, table: str, value_by_key: dict[str, bytes], deleted_keys: list[str]
    ) -> StoredRows:
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
        page = _decode_page(reply)
        return StoredRows([], page.version, page.now_ms)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._client.aclose()

    async def _read_page(self, query: dict[str, t.Any]) -> "_Page":
        reply = await self._get(names.ROWS_GET_PATH, query, CALL_TIMEOUT_S)
        return _decode_page(reply)

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
    with reading("the store's answer", PlatformUnavailableError):
        return read_json(reply.body)


@dataclasses.dataclass(frozen=True, slots=True)
class _Page:
    """One page of rows.

    :param has_more: there are rows after the last one of this page.
    """

    rows: list[StoredRow]
    version: StoreVersion
    now_ms: int
    has_more: bool


def _decode_page(reply: HttpReply) -> _Page:
    """Decode rows.

    :raises PlatformUnavailableError: the reply has no rows, or malformed ones.
    """
    fields = _decode_json(reply)
    era = _decode_era(reply)
    with reading("malformed rows of the store", PlatformUnavailableError):
        items = fields.get("rows", ())  # a feed returns those of all parts
        page = _Page(
            rows=[_decode_row(item, era) for item in items if not item.get("part")],
            version=StoreVersion(era, read_int(fields["ver"])),
            now_ms=read_count(fields["now_ms"]),
            has_more=bool(fields.get("more_pages")),
        )
        if page.has_more and not page.rows:
            raise UnreadableInputError("a page without rows is not the last")
        return page


def _decode_era(reply: HttpReply) -> int:
    """Return the era of the store; 0 if the reply does not name one."""
    value = dict(reply.headers).get(names.STORE_ERA, b"0")
    with reading("era of the store", PlatformUnavailableError):
        return read_digits(value, MAX_ERA)


def _decode_row(item: dict[str, t.Any], era: int) -> StoredRow:
    removed = bool(item.get("removed"))
    value = b"" if removed else base64.b64decode(item["value"])
    version = StoreVersion(era, read_int(item["ver"]))
    # JSON can escape what is no text; such a key must still fit into other messages.
    key = item["key"].encode(errors="replace").decode()
    return StoredRow(key, value, version, removed)
