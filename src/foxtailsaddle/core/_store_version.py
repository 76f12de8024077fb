"""Orders the versions of a store that may be restored from a backup."""

import dataclasses


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class StoreVersion:
    """A version of the platform's store; versions are ordered by era first.

    A store that is restored from a backup begins a new era and assigns numbers again
    that it had assigned after the backup was taken.

    :param era: increases each time the store is restored.
    :param number: increases with each write within an era.
    """

    era: int
    number: int
