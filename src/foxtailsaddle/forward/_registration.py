"""Keeps this instance's row in the store, and finds the other instances there."""

import logging
import typing as t

import trio

from ..core import InstanceId, StoreVersion
from ..errors import FoxtailsaddleError
from ..ports import Store, StoredRows

logger = logging.getLogger("foxtailsaddle.store")

RETRY_PAUSE_S = 1.0
LEASE_RENEW_INTERVAL_S = 30.0
INSTANCE_LEASE_MS = 100_000


class InstanceRegistration:
    """Renews this instance's row, and reports the other instances with a valid row.

    :param table: the table of the instances' rows.
    :param host: address of this instance, for its row.
    :param on_found: called with the id and host of each other instance.
    :param on_version: called with the version of each answer of the store.
    :param retry_pause_s: returns the pause after a failure, scaled by this instance's
        rank among the instances.
    """

    def __init__(
        self,
        store: Store,
        table: str,
        instance: InstanceId,
        host: str,
        on_found: t.Callable[[InstanceId, str], None],
        on_version: t.Callable[[StoreVersion], object],
        retry_pause_s: t.Callable[[float], float],
    ) -> None:
        self._store = store
        self._table = table
        self._instance = instance
        self._host = host
        self._on_found = on_found
        self._on_version = on_version
        self._retry_pause_s = retry_pause_s
        self._renewal_requested = trio.Event()

    def request_renewal(self) -> None:
        """Write the row again now; a restored store may have lost it."""
        self._renewal_requested.set()

    async def run(self) -> None:
        """Renew the row until cancelled."""
        is_first = True
        while True:
            self._renewal_requested = trio.Event()
            try:
                await self._renew(is_first)
                is_first = False
            except FoxtailsaddleError as error:
                logger.info("store: not registered", extra={"why": error.message})
                await trio.sleep(self._retry_pause_s(RETRY_PAUSE_S))
                continue
            with trio.move_on_after(LEASE_RENEW_INTERVAL_S):
                await self._renewal_requested.wait()

    async def _renew(self, is_first: bool) -> None:
        rows = await self._read()
        expired_keys = self._report_found(rows)
        puts = {self._instance: f"{self._host} {rows.now_ms}".encode()}
        self._on_version(await self._store.write(self._table, puts, expired_keys))
        if is_first:
            # Of two instances that start together, the one that writes later
            # sees both rows.
            self._report_found(await self._read())

    async def _read(self) -> StoredRows:
        rows = await self._store.read(self._table)
        self._on_version(rows.version)
        return rows

    def _report_found(self, rows: StoredRows) -> list[str]:
        """Report instances with a valid lease; return the keys of expired rows."""
        expired_keys = []
        for row in rows.rows:
            host, _, renewed_ms = row.value.decode("latin-1").partition(" ")
            if row.key == self._instance:
                continue
            if (
                not renewed_ms.isdecimal()
                or rows.now_ms - int(renewed_ms) > INSTANCE_LEASE_MS
            ):
                expired_keys.append(row.key)
            else:
                self._on_found(InstanceId(row.key), host)
        return expired_keys
