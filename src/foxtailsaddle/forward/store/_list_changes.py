"""Passes changes of the list of endpoints on, so that no part of one gets lost.

A transaction of the store gives all rows that it changes one version. They travel in
several messages, of which any may be lost, come twice, late or in another order. An
instance has a version only with all its rows, and only behind the version before it.
"""

import typing as t

from ...core import StoreVersion
from ...ports import StoredRow
from ..peers import ListChanged

MAX_ROWS_OF_VERSION = 1000  # of a larger one, the receiver reads the store


def changes_after(
    known: StoreVersion, rows: t.Iterable[StoredRow]
) -> list[ListChanged]:
    """Return the messages that take others from one version to the last of the rows.

    :param known: version of the list before these rows.
    """
    rows_by_version: dict[StoreVersion, dict[str, StoredRow]] = {}
    for row in rows:
        if row.version > known:
            rows_by_version.setdefault(row.version, {})[row.key] = row
    changes = []
    for version in sorted(rows_by_version):
        row_by_key = rows_by_version[version]
        count = len(row_by_key)
        changes += [ListChanged(known, row, count) for row in row_by_key.values()]
        known = version
    return changes


class ListChangeCollector:
    """Holds the rows of a version back until all of them have arrived."""

    def __init__(self) -> None:
        self._version: StoreVersion | None = None
        self._count = 0
        self._row_by_key: dict[str, StoredRow] = {}

    def add(self, change: ListChanged, known: StoreVersion) -> list[StoredRow]:
        """Return the rows to apply: all of a version with its last one, else none.

        :param known: version of the list at this instance.
        """
        row = change.row
        if change.after > known or row.version < known:
            return []
        if not change.count:  # an earlier build doesn't tell how many there are
            return [row]
        if row.version == known or change.count > MAX_ROWS_OF_VERSION:
            return []
        # Two readers may tell of one version differently, after a later change.
        if (row.version, change.count) != (self._version, self._count):
            self._begin(row.version, change.count)
        self._row_by_key[row.key] = row
        if len(self._row_by_key) < change.count:
            return []
        rows = list(self._row_by_key.values())
        self._begin(None, 0)
        return rows

    def _begin(self, version: StoreVersion | None, count: int) -> None:
        self._version = version
        self._count = count
        self._row_by_key = {}
