"""The platform port over HTTP with conditional requests.

A row's version travels as its ETag: ``If-None-Match: *`` inserts, ``If-Match``
replaces the version that it names.
"""

import contextlib
import dataclasses
import json
import typing as t
from urllib.parse import quote

from ..errors import (
    ExchangeBrokenError,
    NothingSentError,
    PlatformUnavailableError,
    PreconditionFailedError,
    WriteOutcomeUnknownError,
)
from ..ports import HttpClient, HttpRequest, ListedInstance, Row

TIMEOUT_S = 2.0
PRECONDITION_FAILED = 412


@contextlib.contextmanager
def _well_formed() -> t.Iterator[None]:
    """Turn an answer that is not as agreed into an outage."""
    try:
        yield
    except (KeyError, TypeError) as error:
        raise PlatformUnavailableError(
            f"platform answered not as agreed: {error!r}"
        ) from error


class HttpPlatform:
    """Speaks to the platform's table service and instance list."""

    def __init__(self, client: HttpClient, url: str) -> None:
        self._client = client
        self._url = url

    async def get(self, table: str, key: str) -> Row | None:
        """Return a row, or ``None``."""
        status, body = await self._read(f"/tables/{table}/{quote(key, safe='')}")
        if status == 404:
            return None
        with _well_formed():
            return Row(**body)

    async def scan(self, table: str, after: str) -> list[Row]:
        """Return the rows behind ``after`` in key order."""
        _, body = await self._read(f"/tables/{table}?after={quote(after, safe='')}")
        with _well_formed():
            return [Row(**item) for item in body["rows"]]

    async def put(
        self, table: str, key: str, value: dict[str, t.Any], expected: int
    ) -> Row:
        """Write a row that is at version ``expected``; 0 means absent."""
        condition = (
            {"if-match": f'"{expected}"'} if expected else {"if-none-match": "*"}
        )
        path = f"/tables/{table}/{quote(key, safe='')}"
        try:
            status, body = await self._send("PUT", path, value, condition)
        except NothingSentError as error:
            raise PlatformUnavailableError(error.message) from error
        except ExchangeBrokenError as error:
            raise WriteOutcomeUnknownError(error.message) from error
        if status == PRECONDITION_FAILED:
            raise PreconditionFailedError(f'row "{table}/{key}" has changed')
        if status >= 500:
            raise WriteOutcomeUnknownError(f'row "{table}/{key}" got {status}')
        return Row(**body)

    async def instances(self) -> list[ListedInstance]:
        """Return the list of instances, which lags."""
        _, body = await self._read("/instances")
        with _well_formed():
            return [ListedInstance(**item) for item in body["instances"]]

    async def register(self, listed: ListedInstance) -> None:
        """Add or change this instance's line in the list."""
        try:
            await self._send("PUT", "/instances", dataclasses.asdict(listed), {})
        except (NothingSentError, ExchangeBrokenError) as error:
            raise PlatformUnavailableError(error.message) from error

    async def _read(self, path: str) -> tuple[int, t.Any]:
        try:
            status, body = await self._send("GET", path, None, {})
        except (NothingSentError, ExchangeBrokenError) as error:
            raise PlatformUnavailableError(error.message) from error
        if status >= 500:
            raise PlatformUnavailableError(f'platform answered {status} to "{path}"')
        return status, body

    async def _send(
        self, method: str, path: str, value: t.Any, headers: dict[str, str]
    ) -> tuple[int, t.Any]:
        request = HttpRequest(
            method,
            self._url + path,
            headers={"content-type": "application/json", **headers},
            body=b"" if value is None else json.dumps(value).encode(),
            idle_s=TIMEOUT_S,
        )
        async with self._client.exchange(request) as response:
            body = await response.read()
        try:
            return response.status, json.loads(body)
        except ValueError as error:
            raise ExchangeBrokenError(
                f'platform answered no JSON to "{path}"'
            ) from error
