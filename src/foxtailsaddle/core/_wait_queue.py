"""Queue of an instance's requests while all slots of a service's engines are taken.

Load pattern: a burst that exceeds all slots, or engines that leave during one. With
first come, first served, every request is late as soon as the wait exceeds the
target for the first event. Here the newest request that can still be on time goes
first, long prompts before short ones. A request that will be late anyway goes when
no other request needs a slot, or is moved to an engine's queue while there is still
time to answer it.
"""

import dataclasses
import typing as t

# More than one, so that a request without a suitable engine doesn't block the others.
MAX_EXAMINED = 3


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A request that waits for a slot; times in seconds.

    :param target_deadline: latest time to get a slot for an answer that is on time.
    :param queue_deadline: time at which it is sent to an engine even without a free
        slot.
    :param is_long: whether its prompt is long.
    """

    arrived_at: float
    target_deadline: float
    queue_deadline: float
    is_long: bool


class WaitQueue:
    """The requests of one instance that wait for a slot of one service."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._had_free_slot = False

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: Waiter) -> None:
        """Add a request."""
        self._waiters.append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Remove a request."""
        self._waiters.remove(waiter)

    def overdue(self, now: float) -> list[Waiter]:
        """Return the requests that can't wait any longer."""
        return [waiter for waiter in self._waiters if waiter.queue_deadline <= now]

    def next(self, now: float, is_free: t.Callable[[Waiter], bool]) -> Waiter | None:
        """Return the request that gets a slot now, or ``None``.

        A late request gets one only if a slot was also free at the previous call:
        then no other instance has used it for a request that can be on time.

        :param is_free: returns whether there is a free slot for a request.
        """
        on_time = [waiter for waiter in self._waiters if waiter.target_deadline > now]
        on_time.sort(key=lambda waiter: (waiter.is_long, waiter.arrived_at))
        newest_first = reversed(on_time[-MAX_EXAMINED:])
        if on_time:
            self._had_free_slot = False
            return next(filter(is_free, newest_first), None)
        oldest_first = sorted(self._waiters, key=lambda waiter: waiter.arrived_at)
        late = next(filter(is_free, oldest_first[:MAX_EXAMINED]), None)
        had_free_slot, self._had_free_slot = self._had_free_slot, late is not None
        return late if had_free_slot else None
