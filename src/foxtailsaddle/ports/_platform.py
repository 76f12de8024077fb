"""The port to the platform's table service and instance list."""

import dataclasses
import typing as t


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row of a table; ``version`` rises with every write, from 1."""

    key: str
    version: int
    value: dict[str, t.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """One line of the lagging list of instances."""

    id: str
    role: str
    address: str
    data_centre: str
    incarnation: str
    leaving: bool


class Platform(t.Protocol):
    """What must last is kept here."""

    async def get(self, table: str, key: str) -> Row | None:
        """Return a row.

        :raises PlatformUnavailableError: the platform did not answer.
        """

    async def scan(self, table: str, after: str) -> list[Row]:
        """Return the next rows with a key greater than ``after``, in key order.

        The platform hands them out in pages; an empty list is the end.

        :raises PlatformUnavailableError: the platform did not answer.
        """

    async def put(
        self, table: str, key: str, value: dict[str, t.Any], expected: int
    ) -> Row:
        """Write a row that is at version ``expected``; 0 means absent.

        :raises PreconditionFailedError: the row was at another version.
        :raises WriteOutcomeUnknownError: the answer was lost.
        :raises PlatformUnavailableError: nothing was written.
        """

    async def instances(self) -> list[ListedInstance]:
        """Return the list of instances, which lags.

        :raises PlatformUnavailableError: the platform did not answer.
        """

    async def register(self, listed: ListedInstance) -> None:
        """Add or change this instance's line in the list.

        :raises PlatformUnavailableError: the platform did not answer.
        """
