"""Implements the platform port over HTTP with conditional requests.

A row's version is sent as its ETag: ``If-None-Match: *`` inserts a row, and
``If-Match`` replaces the version that it names.
"""

import contextlib
import dataclasses
import json
import logging
import typing as t
from urllib.parse import quote

from .._input_readers import (
    read_digits,
    read_int,
    read_json,
    read_optional,
    read_text,
    reading,
)
from ..errors import (
    ExchangeBrokenError,
    NothingSentError,
    PlatformUnavailableError,
    PreconditionFailedError,
    UnreadableInputError,
    WriteOutcomeUnknownError,
)
from ..ports import HttpClient, HttpRequest, ListedInstance, Row

logger = logging.getLogger("foxtailsaddle.peers")

MAX_KEY_BYTES = 4096
IDLE_TIMEOUT_S = 2.0
TOTAL_TIMEOUT_S = 10.0
ERA_HEADER = "store-era"
STATUS_NOT_FOUND = 404
STATUS_PRECONDITION_FAILED = 412


def _reading_response() -> contextlib.AbstractContextManager[None]:
    return reading("response of the platform", PlatformUnavailableError)


class HttpPlatform:
    """Client of the platform's table service and instance list."""

    def __init__(self, client: HttpClient, url: str) -> None:
        self._client = client
        self._url = url
        self.era = 0
        self.on_new_era: t.Callable[[int, int], None] = lambda era, previous: None

    async def get(self, table: str, key: str) -> Row | None:
        """Return a row, or ``None``."""
        status, body = await self._get_json(f"/tables/{table}/{quote(key, safe='')}")
        if status == STATUS_NOT_FOUND:
            return None
        with _reading_response():
            return _decode_row(body)

    async def scan(self, table: str, after: str) -> list[Row]:
        """Return the next page of rows with a key above ``after``, in key order."""
        path = f"/tables/{table}?after={quote(after, safe='')}"
        _, body = await self._get_json(path)
        with _reading_response():
            return [_decode_row(item) for item in body["rows"]]

    async def put(
        self, table: str, key: str, value: dict[str, t.Any], expected_version: int
    ) -> Row:
        """Write a row that is at ``expected_version``; 0 means that it is absent."""
        condition = (
            {"if-match": f'"{expected_version}"'}
            if expected_version
            else {"if-none-match": "*"}
        )
        path = f"/tables/{table}/{quote(key, safe='')}"
        try:
            status, body = await self._exchange_json("PUT", path, value, condition)
        except NothingSentError as error:
            raise PlatformUnavailableError(error.message) from error
        except ExchangeBrokenError as error:
            raise WriteOutcomeUnknownError(error.message) from error
        if status == STATUS_PRECONDITION_FAILED:
            raise PreconditionFailedError(
                f'row "{table}/{key}" is not at the expected version'
            )
        if status >= 500:
            raise WriteOutcomeUnknownError(
                f'row "{table}/{key}": platform answered the write with status {status}'
            )
        if status >= 400:
            raise PlatformUnavailableError(
                f'row "{table}/{key}": platform refused the write with status {status}'
            )
        with _reading_response():
            return _decode_row(body)

    async def instances(self) -> list[ListedInstance]:
        """Return the list of instances, which may be out of date."""
        _, body = await self._get_json("/instances")
        with _reading_response():
            items = list(body["instances"])
        listed = [read_optional(_decode_listed_instance, item) for item in items]
        if None in listed:
            logger.info("peers: listed instances ignored: %d", listed.count(None))
        return [item for item in listed if item is not None]

    async def register(self, listed: ListedInstance) -> None:
        """Add or change this instance's entry in the list of instances."""
        try:
            await self._exchange_json(
                "PUT", "/instances", dataclasses.asdict(listed), {}
            )
        except (NothingSentError, ExchangeBrokenError) as error:
            raise PlatformUnavailableError(error.message) from error

    async def _get_json(self, path: str) -> tuple[int, t.Any]:
        try:
            status, body = await self._exchange_json("GET", path, None, {})
        except (NothingSentError, ExchangeBrokenError) as error:
            raise PlatformUnavailableError(error.message) from error
        if status >= 400 and status != STATUS_NOT_FOUND:
            raise PlatformUnavailableError(
                f'platform answered status {status} to "{path}"'
            )
        return status, body

    def _record_era(self, text: str) -> None:
        """Record the era of an answer; answers of earlier eras may come late."""
        era = read_optional(read_digits, text.encode()) or 0
        if era > self.era:
            previous, self.era = self.era, era
            self.on_new_era(era, previous)

    async def _exchange_json(
        self, method: str, path: str, value: t.Any, headers: dict[str, str]
    ) -> tuple[int, t.Any]:
        request = HttpRequest(
            method,
            self._url + path,
            headers={"content-type": "application/json", **headers},
            body=b"" if value is None else json.dumps(value).encode(),
            idle_timeout_s=IDLE_TIMEOUT_S,
            total_timeout_s=TOTAL_TIMEOUT_S,
        )
        async with self._client.exchange(request) as response:
            body = await response.read()
        self._record_era(response.headers.get(ERA_HEADER, "0"))
        with reading(f'answer of the platform to "{path}"', ExchangeBrokenError):
            return response.status, read_json(body)


def _decode_row(fields: dict[str, t.Any]) -> Row:
    if not isinstance(fields["value"], dict):
        raise UnreadableInputError("the value of a row is no object")
    key = read_text(fields["key"], MAX_KEY_BYTES)
    return Row(key, read_int(fields["version"]), fields["value"])


def _decode_listed_instance(fields: dict[str, t.Any]) -> ListedInstance:
    return ListedInstance(
        id=read_text(fields["id"]),
        role=read_text(fields["role"]),
        address=_string(fields["address"]),
        data_centre=_string(fields["data_centre"]),
        incarnation=_string(fields["incarnation"]),
        leaving=bool(fields["leaving"]),
    )


def _string(value: t.Any) -> str:
    return read_text(value) if value != "" else ""
