"""Decodes the rows of the endpoint list, one by one."""

import logging

from ...core import ListedEndpoint, RetiredEndpoints
from ...errors import UnreadableInputError
from ...ports import StoredRow, StoreSchema

logger = logging.getLogger("foxtailsaddle.store")


class ListRowReader:
    """Decodes rows; one that names no endpoint to use doesn't affect the others.

    :ivar unreadable_keys: keys of the listed rows that name no endpoint to use.
    """

    def __init__(self, schema: StoreSchema) -> None:
        self._schema = schema
        self._retired = RetiredEndpoints()
        self.unreadable_keys: set[str] = set()

    def read(self, row: StoredRow, is_restored: bool = False) -> ListedEndpoint | None:
        """Return the endpoint of a row, ``None`` if it was removed or is unreadable.

        :param is_restored: the row was read first after the store was restored.
        """
        if row.removed:
            self.unreadable_keys.discard(row.key)
            return None
        try:
            entry = self._schema.decode_endpoint(row.key, row.value)
        except UnreadableInputError as error:
            self._record_unreadable(row, error)
            return None
        self.unreadable_keys.discard(row.key)
        return self._retired.correct(entry, row.version, is_restored)

    def read_all(
        self, rows: list[StoredRow], is_restored: bool
    ) -> dict[str, ListedEndpoint]:
        """Return the endpoints of the whole table, by key."""
        self.unreadable_keys &= {row.key for row in rows}
        entries = {row.key: self.read(row, is_restored) for row in rows}
        return {key: entry for key, entry in entries.items() if entry is not None}

    def retire(self, endpoint: str) -> None:
        """Record that an endpoint has gone."""
        self._retired.retire(endpoint)

    def _record_unreadable(self, row: StoredRow, error: UnreadableInputError) -> None:
        if row.key in self.unreadable_keys:
            return
        self.unreadable_keys.add(row.key)
        logger.warning(
            "list: entry ignored",
            extra={
                "entry": row.key,
                "bytes": len(row.value),
                "version": row.version.number,
                "why": error.message,
            },
        )
