"""Puts rows of the list of endpoints in force."""

import logging

import trio

from ...core import EndpointId, StoreVersion
from ...ports import StoredRow
from .._cold_starts import record_entry
from .._fleet import FleetState
from ._list_rows import ListRowReader

logger = logging.getLogger("foxtailsaddle.store")


class ListUpdater:
    """Changes the list of endpoints that this instance goes by.

    :param rows: decodes the rows.
    """

    def __init__(self, fleet: FleetState, rows: ListRowReader) -> None:
        self._fleet = fleet
        self._rows = rows

    def apply_row(self, row: StoredRow) -> bool:
        """Apply a row; return whether it names an endpoint to use."""
        now = trio.current_time()
        endpoint = EndpointId(row.key)
        entry = self._rows.read(row)
        previous = self._fleet.endpoints.get(endpoint)
        if entry is None:
            self._fleet.endpoint_rows.pop(row.key, None)
            self._fleet.endpoints.remove(endpoint, now)
        else:
            self._fleet.endpoint_rows[row.key] = row.value
            self._fleet.endpoints.put(entry)
            record_entry(self._fleet, entry, previous, now)
        previous_state = previous.state if previous else None
        if previous_state is not (entry.state if entry else None):
            logger.info(
                "list: changed",
                extra={
                    "endpoint": endpoint,
                    "state": entry.state.value if entry else "gone",
                    "version": row.version.number,
                    "era": row.version.era,
                },
            )
        self.forget_expired(now)
        return entry is not None

    def replace(
        self, rows: list[StoredRow], version: StoreVersion, is_restored: bool
    ) -> None:
        """Replace the list by the rows of a full read.

        :param version: version of the list as a whole.
        :param is_restored: it is the first read after the store was restored.
        """
        entry_by_key = self._rows.read_all(rows, is_restored)
        self._fleet.endpoint_rows = {
            row.key: row.value for row in rows if row.key in entry_by_key
        }
        entries = list(entry_by_key.values())
        now = trio.current_time()
        known = {entry.id: entry for entry in self._fleet.endpoints.all()}
        self._fleet.endpoints.replace(entries, now)
        for entry in entries:
            # The first list shows no starts: all endpoints are new in it.
            previous = known.get(entry.id) if known else entry
            record_entry(self._fleet, entry, previous, now)
        self.forget_expired(now)
        logger.info(
            "list: read",
            extra={
                "endpoints": len(entries),
                "version": version.number,
                "era": version.era,
            },
        )

    def forget_expired(self, now: float) -> None:
        """Forget the endpoints that left the list some time ago."""
        for endpoint in self._fleet.endpoints.expire(now):
            self._rows.retire(endpoint)
            self._fleet.forget_endpoint(endpoint, now)
            logger.info("list: gone", extra={"endpoint": endpoint})
