"""Limits of a client account, held over all instances.

The home instance of an account (see ``owner_of``) keeps its bucket. Other
instances take grants from it in batches, so that one account's calls may all
arrive at one instance and still get the whole allowance, and no more.
"""

import dataclasses
import math

UNSETTLED_S = 5.0
CREDIT_S = 0.01


@dataclasses.dataclass(slots=True)
class Bucket:
    """A token bucket that goes into debt for a large request.

    A request is let in once a little has accrued, and those after it wait
    until its whole cost is paid: a prompt larger than what a second allows is
    not refused, and the rate holds.

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
        need = min(amount, self.burst, self.rate * CREDIT_S)
        if self.level >= need:
            self.level -= amount
            return 0.0
        return (need - self.level) / self.rate

    def put_back(self, amount: float) -> None:
        """Return units that were taken and not used."""
        self.level = min(self.burst, self.level + amount)


@dataclasses.dataclass(slots=True)
class RecentRate:
    """The rate at which something came lately, older events counting less.

    :param tau_s: time in which an event's weight falls to 1/e, in seconds.
    :param memory_s: the same for a rate that is no longer added to.
    """

    tau_s: float = 1.0
    memory_s: float = 30.0
    rate: float = 0.0
    updated_at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count an event of this amount."""
        weight = math.exp((self.updated_at - now) / self.tau_s)
        self.rate = self.rate * weight + amount / self.tau_s
        self.updated_at = now

    def at(self, now: float) -> float:
        """Return the rate, forgetting slowly since the last event."""
        return self.rate * math.exp((self.updated_at - now) / self.memory_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """Rates of one account at one service, over all instances."""

    requests_per_s: float
    tokens_per_s: float
    share_tokens_per_s: float


@dataclasses.dataclass(slots=True)
class FairShare:
    """How far an account is ahead of its share of a service.

    Prompts of an account that keeps to its share rank by their arrival. Those
    of one that sends more rank as if they came later, so that they wait for,
    and are refused before, the prompts of others. Nothing is lost while the
    service is idle.

    :param rate: tokens per second of the share.
    """

    MAX_LAG_S = 30.0
    SLACK_S = 0.5

    rate: float
    paid_until: float

    def add(self, tokens: float, now: float) -> float:
        """Count a prompt; return the seconds by which it ranks later."""
        self.paid_until = max(self.paid_until, now - self.SLACK_S)
        lag_s = max(0.0, self.paid_until - now)
        latest = now + self.MAX_LAG_S
        self.paid_until = min(latest, self.paid_until + tokens / self.rate)
        return lag_s


@dataclasses.dataclass(slots=True)
class _Account:
    requests: Bucket
    volume: Bucket
    share: FairShare


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """The home's word on one request.

    :param wait_s: zero when admitted, else the seconds to wait.
    :param lag_s: seconds by which the prompt ranks later.
    """

    wait_s: float
    lag_s: float = 0.0


class HomeLimits:
    """Buckets of the accounts whose home is this instance, by account key."""

    BURST_S = 1.0

    def __init__(self, idle_s: float = 60.0) -> None:
        self._by_key: dict[str, _Account] = {}
        self._idle_s = idle_s
        self._settled_at = float("-inf")

    def __len__(self) -> int:
        return len(self._by_key)

    def settle(self, now: float) -> None:
        """Record that homes may have moved.

        A bucket that is new here soon after starts empty, so that a change of
        home never admits an allowance twice.
        """
        self._settled_at = now

    def forget(self, key: str) -> None:
        """Drop one account's buckets."""
        self._by_key.pop(key, None)

    def take(self, key: str, tokens: float, allowance: Allowance, now: float) -> Grant:
        """Admit one request of ``tokens``, or say how long to wait."""
        account = self._account(key, allowance, now)
        wait_s = account.requests.take(1, now)
        if wait_s:
            return Grant(wait_s)
        wait_s = account.volume.take(tokens, now)
        if wait_s:
            account.requests.put_back(1)
            return Grant(wait_s)
        return Grant(0.0, account.share.add(tokens, now))

    def forget_idle(self, now: float) -> None:
        """Drop the buckets that were not used for a while."""
        stale = [
            key
            for key, account in self._by_key.items()
            if now - account.requests.updated_at > self._idle_s
        ]
        for key in stale:
            del self._by_key[key]

    def _account(self, key: str, allowance: Allowance, now: float) -> _Account:
        account = self._by_key.get(key)
        if account is None:
            account = _Account(
                self._new_bucket(allowance.requests_per_s, now),
                self._new_bucket(allowance.tokens_per_s, now),
                FairShare(allowance.share_tokens_per_s, now),
            )
            self._by_key[key] = account
        self._set_rate(account.requests, allowance.requests_per_s, now)
        self._set_rate(account.volume, allowance.tokens_per_s, now)
        account.share.rate = allowance.share_tokens_per_s
        return account

    def _set_rate(self, bucket: Bucket, rate: float, now: float) -> None:
        bucket.refill(now)
        bucket.rate = rate
        bucket.burst = self._burst(rate)

    def _burst(self, rate: float) -> float:
        return max(1.0, rate * self.BURST_S)

    def _new_bucket(self, rate: float, now: float) -> Bucket:
        burst = self._burst(rate)
        settled_s = now - self._settled_at - UNSETTLED_S
        level = min(burst, max(0.0, rate * settled_s))
        return Bucket(rate, burst, level=level, updated_at=now)
