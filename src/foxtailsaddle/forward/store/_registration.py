"""Keeps this instance's row in the store, and finds the other instances there."""

import dataclasses
import logging
import typing as t

import trio

from ..._input_readers import read_digits, read_optional
from ...core import InstanceId, StoreVersion, parse_host
from ...errors import FoxtailsaddleError
from ...ports import Store, StoredRows

logger = logging.getLogger("foxtailsaddle.store")

RETRY_PAUSE_S = 1.0
CLOCK_WAIT_S = 0.5
READER_RENEW_INTERVAL_S = 30.0
LEASE_RENEW_INTERVAL_S = 60.0
INSTANCE_LEASE_MS = 200_000
MS_PER_S = 1000


class InstanceRegistration:
    """Renews this instance's row, and reports the other instances with a valid row.

    Later instances find this one by its row, and announce themselves to it. So only
    the readers of the store read the rows again, to delete expired ones and to find
    instances that were cut off.

    :param table: the table of the instances' rows.
    :param host: address of this instance, for its row.
    :param on_found: called with the id and host of each other instance.
    :param on_version: called with the version of each answer of the store.
    :param retry_pause_s: returns the pause after a failure, scaled by this instance's
        rank among the instances.
    :param reads_store: returns whether this instance is a reader of the store.
    :ivar has_registered: the row was written, and the other instances are known.
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
        reads_store: t.Callable[[], bool],
    ) -> None:
        self._store = store
        self._table = table
        self._instance = instance
        self._host = host
        self._on_found = on_found
        self._on_version = on_version
        self._retry_pause_s = retry_pause_s
        self._reads_store = reads_store
        self._store_clock_offset_ms: float | None = None
        self._renewal_requested = trio.Event()
        self._clock_known = trio.Event()
        self.has_registered = False

    def record_clock(self, now_ms: int) -> None:
        """Record the store's clock, as of an answer that has just arrived.

        :param now_ms: in milliseconds.
        """
        self._store_clock_offset_ms = now_ms - trio.current_time() * MS_PER_S
        self._clock_known.set()

    def request_renewal(self) -> None:
        """Write the row and read those of the others again now."""
        self.has_registered = False
        self._renewal_requested.set()

    async def run(self) -> None:
        """Renew the row until cancelled."""
        # The first answers to the followers show the store's clock, which saves a read.
        with trio.move_on_after(CLOCK_WAIT_S):
            await self._clock_known.wait()
        while True:
            self._renewal_requested = trio.Event()
            try:
                await self._renew()
            except FoxtailsaddleError as error:
                logger.info("store: not registered", extra={"why": error.message})
                await trio.sleep(self._retry_pause_s(RETRY_PAUSE_S))
                continue
            with trio.move_on_after(self._renew_interval_s()):
                await self._renewal_requested.wait()

    def _renew_interval_s(self) -> float:
        return (
            READER_RENEW_INTERVAL_S if self._reads_store() else LEASE_RENEW_INTERVAL_S
        )

    async def _renew(self) -> None:
        expired_keys = []
        if self._store_clock_offset_ms is None or self._reads_store():
            expired_keys = self._report_found(await self._read())
        await self._write(expired_keys)
        if not self.has_registered:
            # Of two instances that start together, the one that writes later
            # sees both rows.
            self._report_found(await self._read())
            self.has_registered = True

    async def _read(self) -> StoredRows:
        rows = await self._store.read(self._table)
        self._on_version(rows.version)
        self.record_clock(rows.now_ms)
        return rows

    async def _write(self, expired_keys: list[str]) -> None:
        now_ms = int(trio.current_time() * MS_PER_S + self._store_clock_offset_ms)
        puts = {self._instance: f"{self._host} {now_ms}".encode()}
        written = await self._store.write(self._table, puts, expired_keys)
        self._on_version(written.version)

    def _report_found(self, rows: StoredRows) -> list[str]:
        """Report instances with a valid lease; return the keys of expired rows."""
        expired_keys = []
        for row in rows.rows:
            if row.key == self._instance:
                continue
            lease = read_optional(_read_lease, row.value)
            if lease is None or rows.now_ms - lease.renewed_ms > INSTANCE_LEASE_MS:
                expired_keys.append(row.key)
            else:
                self._on_found(InstanceId(row.key), lease.host)
        return expired_keys


@dataclasses.dataclass(frozen=True, slots=True)
class _Lease:
    """The row of an instance.

    :param host: its address.
    :param renewed_ms: time of the last renewal, by the store's clock.
    """

    host: str
    renewed_ms: int


def _read_lease(value: bytes) -> _Lease:
    host, _, renewed_ms = value.partition(b" ")
    return _Lease(parse_host(host.decode()), read_digits(renewed_ms))
