"""Limits of a client account, held over all instances.

The home instance of an account (see ``owner_of``) keeps its bucket. Other
instances take grants from it in batches, so that one account's calls may all
arrive at one instance and still get the whole allowance, and no more.
"""

import dataclasses


@dataclasses.dataclass(slots=True)
class Bucket:
    """A token bucket that may be drawn below zero for one large request.

    :param rate: units per second.
    :param burst: most units that can be saved up.
    """

    rate: float
    burst: float
    level: float
    updated_at: float

    def refill(self, now: float) -> None:
        """Add what has accrued until ``now``, in seconds."""
        gained = (now - self.updated_at) * self.rate
        self.level = min(self.burst, self.level + max(0.0, gained))
        self.updated_at = now

    def take(self, amount: float, now: float) -> float:
        """Take ``amount`` units; return 0, or the seconds to wait instead."""
        self.refill(now)
        need = min(amount, self.burst)
        if self.level >= need:
            self.level -= amount
            return 0.0
        return (need - self.level) / self.rate

    def put_back(self, amount: float) -> None:
        """Return units that were taken and not used."""
        self.level = min(self.burst, self.level + amount)


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """Rates of one account at one service, over all instances."""

    requests_per_s: float
    tokens_per_s: float


class HomeLimits:
    """Buckets of the accounts whose home is this instance, by account key."""

    BURST_S = 1.0

    def __init__(self, idle_s: float = 60.0) -> None:
        self._by_key: dict[str, tuple[Bucket, Bucket]] = {}
        self._idle_s = idle_s
        self._settled_at = float("-inf")

    def __len__(self) -> int:
        return len(self._by_key)

    def settle(self, now: float) -> None:
        """Record that homes may have moved.

        A bucket that is new here starts with what has accrued since then, so
        that a change of home never admits an allowance twice.
        """
        self._settled_at = now

    def take(self, key: str, tokens: float, allowance: Allowance, now: float) -> float:
        """Admit one request of ``tokens``; return 0, or seconds to wait."""
        requests, volume = self._buckets(key, allowance, now)
        wait_s = requests.take(1, now)
        if wait_s:
            return wait_s
        wait_s = volume.take(tokens, now)
        if wait_s:
            requests.put_back(1)
        return wait_s

    def forget_idle(self, now: float) -> None:
        """Drop the buckets that were not used for a while."""
        stale = [
            key
            for key, (requests, _) in self._by_key.items()
            if now - requests.updated_at > self._idle_s
        ]
        for key in stale:
            del self._by_key[key]

    def _buckets(
        self, key: str, allowance: Allowance, now: float
    ) -> tuple[Bucket, Bucket]:
        pair = self._by_key.get(key)
        if pair is None:
            pair = (
                self._new_bucket(allowance.requests_per_s, now),
                self._new_bucket(allowance.tokens_per_s, now),
            )
            self._by_key[key] = pair
        for bucket, rate in zip(
            pair, (allowance.requests_per_s, allowance.tokens_per_s), strict=True
        ):
            bucket.refill(now)
            bucket.rate = rate
            bucket.burst = self._burst(rate)
        return pair

    def _burst(self, rate: float) -> float:
        return max(1.0, rate * self.BURST_S)

    def _new_bucket(self, rate: float, now: float) -> Bucket:
        burst = self._burst(rate)
        level = min(burst, rate * (now - self._settled_at))
        return Bucket(rate, burst, level=level, updated_at=now)
