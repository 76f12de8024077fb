"""Numbers updates that must not be missed, and finds the ones that were.

A sender numbers them from 1 on and keeps the last of them. A receiver that has heard
of a later number than it has received asks for those between; a sender that no longer
has them sends its whole state instead. Numbers are those of one process of the sender.
"""

import collections
import dataclasses
import typing as t

KEPT_UPDATES = 1000
MAX_GAP = 10_000  # of a larger one, the whole state is asked for
MAX_STATE_PARTS = 1000

UpdateT = t.TypeVar("UpdateT")


@dataclasses.dataclass(frozen=True, slots=True)
class MissedUpdates:
    """What a receiver lacks of a sender's updates.

    :param first: number of the first missed update.
    :param last: number of the last one; 0 if the whole state is missed.
    """

    first: int
    last: int

    @property
    def is_all(self) -> bool:
        """Whether the whole state of the sender is missed."""
        return not self.last


WHOLE_STATE = MissedUpdates(0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class StatePart:
    """Says that updates belong to the whole state of their sender.

    :param number: of the last update that the state contains.
    :param index: of this part, from 0 on.
    :param count: number of the parts.
    """

    number: int
    index: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeptUpdate(t.Generic[UpdateT]):
    """An update that was sent.

    :param sent_at: in seconds.
    """

    number: int
    update: UpdateT
    sent_at: float


class UpdateLog(t.Generic[UpdateT]):
    """The last updates of one sender.

    :ivar last: number of the last update, 0 before the first.
    """

    def __init__(self) -> None:
        self._kept: collections.deque[KeptUpdate[UpdateT]] = collections.deque(
            maxlen=KEPT_UPDATES
        )
        self.last = 0

    def append(self, update: UpdateT, now: float) -> None:
        """Number an update."""
        self.last += 1
        self._kept.append(KeptUpdate(self.last, update, now))

    def find(self, missed: MissedUpdates) -> list[KeptUpdate[UpdateT]] | None:
        """Return missed updates; ``None`` if one of them is not kept any more."""
        first_kept = self.last - len(self._kept) + 1
        if missed.is_all or missed.first < first_kept:
            return None
        return [
            kept for kept in self._kept if missed.first <= kept.number <= missed.last
        ]


class UpdateSequence:
    """The numbers of one sender's updates that a receiver has.

    A new one lacks the sender's whole state.
    """

    def __init__(self) -> None:
        self._has_state = False
        self._complete_to = 0
        self._later: set[int] = set()
        self._last = 0
        self._state_number = 0
        self._state_parts: set[int] = set()

    def receive(self, last: int, count: int) -> bool:
        """Record numbers; return whether one of them is new.

        :param last: the last number that the sender has used, or that it repeats.
        :param count: how many numbers up to ``last`` have arrived with it.
        """
        self._last = max(self._last, last)
        first = last - min(count, KEPT_UPDATES) + 1
        numbers = range(max(first, self._complete_to + 1), last + 1)
        new = [number for number in numbers if number not in self._later]
        if self._is_gap_too_large():
            self._forget()
            return bool(count)
        self._later.update(new)
        self._advance()
        return bool(new)

    def receive_state(self, part: StatePart) -> None:
        """Record that a part of the sender's whole state has arrived."""
        if not 0 <= part.index < part.count <= MAX_STATE_PARTS:
            return
        if part.number != self._state_number:
            self._state_number = part.number
            self._state_parts = set()
        self._state_parts.add(part.index)
        if len(self._state_parts) < part.count:
            return
        self._state_parts = set()
        self._has_state = True
        self._complete_to = max(self._complete_to, part.number)
        self._last = max(self._last, part.number)
        self._later = {number for number in self._later if number > self._complete_to}
        self._advance()

    def missed(self) -> MissedUpdates | None:
        """Return the first updates in order that are missed, if any are."""
        if not self._has_state:
            return WHOLE_STATE
        if self._complete_to >= self._last:
            return None
        next_received = min(self._later, default=self._last + 1)
        return MissedUpdates(self._complete_to + 1, next_received - 1)

    def _is_gap_too_large(self) -> bool:
        if not self._has_state:
            return len(self._later) > MAX_GAP
        return self._last - self._complete_to > MAX_GAP

    def _forget(self) -> None:
        """Begin anew, with the sender's whole state."""
        self._has_state = False
        self._later = set()
        self._complete_to = self._last = 0

    def _advance(self) -> None:
        while self._complete_to + 1 in self._later:
            self._complete_to += 1
            self._later.remove(self._complete_to)
