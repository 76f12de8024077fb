"""The port to the platform's table service and instance list."""

import dataclasses
import typing as t


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row of a table; ``version`` starts at 1 and grows with every write."""

    key: str
    version: int
    value: dict[str, t.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """One entry of the list of instances, which may be out of date.

    :param leaving: the instance is shutting down.
    """

    id: str
    role: str
    address: str
    data_centre: str
    incarnation: str
    leaving: bool


class Platform(t.Protocol):
    """Client of the platform's table service, which stores all durable data.

    :ivar era: increases each time the platform is restored from a backup; 0 before the
        first answer.
    :ivar on_new_era: called with the new and the previous era as soon as an answer
        names it.
    """

    era: int
    on_new_era: t.Callable[[int, int], None]

    async def get(self, table: str, key: str) -> Row | None:
        """Return a row.

        :raises PlatformUnavailableError: the platform did not answer.
        """

    async def scan(self, table: str, after: str) -> list[Row]:
        """Return the next page of rows with a key greater than ``after``.

        Rows are in key order; an empty page marks the end.

        :raises PlatformUnavailableError: the platform did not answer.
        """

    async def put(
        self, table: str, key: str, value: dict[str, t.Any], expected_version: int
    ) -> Row:
        """Write a row that is at ``expected_version``; 0 means that it is absent.

        :raises PreconditionFailedError: the row was at another version.
        :raises WriteOutcomeUnknownError: the answer was lost.
        :raises PlatformUnavailableError: nothing was written.
        """

    async def instances(self) -> list[ListedInstance]:
        """Return the list of instances, which may be out of date.

        :raises PlatformUnavailableError: the platform did not answer.
        """

    async def register(self, listed: ListedInstance) -> None:
        """Add or change this instance's entry in the list of instances.

        :raises PlatformUnavailableError: the platform did not answer.
        """
