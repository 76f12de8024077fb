"""The injected faults that excuse a late or missing answer, by place and time."""

import dataclasses

STORE = "store"


@dataclasses.dataclass(frozen=True)
class Disruption:
    """A fault of an instance, of the store or of the link to a runner."""

    place: str
    since: float
    until: float


@dataclasses.dataclass(frozen=True)
class Cut:
    """A time for which an instance reached no runner."""

    instance: str
    since: float
    until: float


@dataclasses.dataclass(frozen=True)
class Evacuation:
    """A time for which a data centre was evacuated.

    :param since: when the store had acknowledged it.
    :param runners: ids of the processes that were there all the while.
    """

    since: float
    until: float
    runners: frozenset[str]


class Disruptions:
    """All disruptions of a run.

    :param grace_s: seconds after a disruption for which it still excuses.
    """

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._all: list[Disruption] = []

    def add(self, place: str, since: float, until: float) -> None:
        """Record a disruption."""
        self._all.append(Disruption(place, since, until + self._grace_s))

    def overlap(self, place: str, since: float, until: float) -> bool:
        """Return whether a place was disrupted at any time of a period."""
        return any(
            item.place == place and since < item.until and until > item.since
            for item in self._all
        )
