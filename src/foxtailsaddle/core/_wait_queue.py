"""Queue of an instance's requests while all slots of a service's engines are taken.

Load pattern: a burst that exceeds all slots, or engines that leave during one. With
first come, first served, every request is late as soon as the wait exceeds the
target for the first event. Here the newest request that can still be on time goes
first, long prompts before short ones. A request that will be late anyway goes when
no other request needs a slot, or is moved to an engine's queue while there is still
time to answer it.

Where room is shared, urgent requests go before others, and accounts below their share
before those above it, also when they are late already. Less urgent requests that have
waited long go first while they have few slots. The instances don't know each other's
queues, and slots may become free many at once: requests with a weaker claim leave some
slots free, for those with a stronger one that wait elsewhere or are still to come.
"""

import dataclasses
import math
import random
import typing as t

from ._account_shares import NO_ACCOUNT, AccountHash, Claim, SlotShares

# More than one, so that a request without a suitable engine doesn't block the others.
MAX_EXAMINED = 3
# Of the longest wait, after which a less urgent request may go before urgent ones.
MAX_YIELDING_SHARE = 0.5


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A request that waits for a slot; times in seconds.

    :param target_deadline: latest time to get a slot for an answer that is on time.
    :param queue_deadline: time at which it is sent to an engine even without a free
        slot.
    :param is_long: whether its prompt is long.
    :param account: the client account that sent it.
    :param is_urgent: no route of the service has a higher priority.
    """

    arrived_at: float
    target_deadline: float
    queue_deadline: float
    is_long: bool
    account: AccountHash = NO_ACCOUNT
    is_urgent: bool = True

    def has_waited_long(self, now: float) -> bool:
        """Return whether a good part of the longest wait is over."""
        longest_s = self.queue_deadline - self.arrived_at
        return now - self.arrived_at > MAX_YIELDING_SHARE * longest_s


class WaitQueue:
    """The requests of one instance that wait for a slot of one service.

    :param random_share: returns random numbers from 0 to 1.
    :ivar shares: how the slots are shared at present.
    :ivar instances: number of instances that may look for a slot at the same time.
    """

    def __init__(self, random_share: t.Callable[[], float] = random.random) -> None:
        self._random_share = random_share
        self._chance_doublings = 0
        self._waiters: list[Waiter] = []
        self._had_free_slot = False
        self.shares = SlotShares()
        self.instances = 1

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: Waiter) -> None:
        """Add a request."""
        self._waiters.append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Remove a request."""
        self._waiters.remove(waiter)

    def accounts(self) -> set[AccountHash]:
        """Return the accounts whose requests wait."""
        return {waiter.account for waiter in self._waiters}

    def overdue(self, now: float) -> list[Waiter]:
        """Return the requests that can't wait any longer."""
        return [waiter for waiter in self._waiters if waiter.queue_deadline <= now]

    def next(
        self,
        now: float,
        is_free: t.Callable[[Waiter], bool],
        free_slots: float = math.inf,
    ) -> Waiter | None:
        """Return the request that gets a slot now, or ``None``.

        A late request gets one only if a slot was also free at the previous call:
        then no other instance has used it for a request that can be on time.

        :param is_free: returns whether there is a free slot for a request.
        :param free_slots: slots of the service that are free.
        """

        def may_go(waiter: Waiter) -> bool:
            return self.may_use(waiter, free_slots, now) and is_free(waiter)

        had_free_slot, self._had_free_slot = self._had_free_slot, False
        for claim, waiters in self._by_claim(now):
            on_time = [w for w in waiters if w.target_deadline > now]
            if on_time:
                on_time.sort(key=self._order)
                chosen = next(filter(may_go, on_time[:MAX_EXAMINED]), None)
            else:
                waiters.sort(key=lambda w: w.arrived_at)
                chosen = next(filter(may_go, waiters[:MAX_EXAMINED]), None)
            if chosen is None:
                continue
            is_late = not on_time and claim is not Claim.STARVED
            self._had_free_slot = is_late
            if is_late and not had_free_slot:
                return None
            return chosen if self._takes_turn(claim, free_slots) else None
        return None

    def may_use(self, waiter: Waiter, free_slots: float, now: float) -> bool:
        """Return whether a request leaves enough of the free slots to others."""
        claim = self._claim(waiter, now)
        return free_slots > self.shares.reserved_by_claim.get(claim, 0)

    def _order(self, waiter: Waiter) -> tuple[int, bool, float]:
        """Return the sort key of requests with the same claim that can be on time."""
        jobs_above = self.shares.above_share.get(waiter.account, 0)
        return jobs_above, not waiter.is_long, -waiter.arrived_at

    def _takes_turn(self, claim: Claim, free_slots: float) -> bool:
        """Return whether a request may use a free slot at this look.

        Where slots are kept for stronger claims, the instances together would take
        those too if each used what it sees free. Each takes its turn at random, and
        with a chance that doubles at every look, since others may have no requests.
        """
        reserved = self.shares.reserved_by_claim.get(claim, 0)
        if not reserved:
            return True
        chance = (free_slots - reserved) / self.instances * 2**self._chance_doublings
        takes_turn = self._random_share() < chance
        self._chance_doublings = 0 if takes_turn else self._chance_doublings + 1
        return takes_turn

    def _by_claim(self, now: float) -> list[tuple[Claim, list[Waiter]]]:
        """Return the requests of each claim, the strongest first."""
        waiters_by_claim: dict[Claim, list[Waiter]] = {}
        for waiter in self._waiters:
            waiters_by_claim.setdefault(self._claim(waiter, now), []).append(waiter)
        return sorted(waiters_by_claim.items(), key=lambda item: item[0])

    def _claim(self, waiter: Waiter, now: float) -> Claim:
        is_above_share = waiter.account in self.shares.above_share
        if waiter.is_urgent:
            return Claim.URGENT_ABOVE_SHARE if is_above_share else Claim.URGENT
        if self.shares.is_less_urgent_due and waiter.has_waited_long(now):
            return Claim.STARVED
        return Claim.LESS_URGENT_ABOVE_SHARE if is_above_share else Claim.LESS_URGENT
