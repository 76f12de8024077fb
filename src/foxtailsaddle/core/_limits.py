"""Rate limits of client accounts over all instances.

The owner instance of an account (see ``owner_of``) keeps its token buckets. Other
instances request a grant from the owner for each request. An account therefore
gets its whole allowance, and no more, even if all its calls arrive at one
instance.
"""

import dataclasses
import math

HANDOVER_S = 5.0  # after a change of owners, in which the old owner may still grant
MIN_CREDIT_S = 0.01  # worth of units that must have accrued to admit a large request


@dataclasses.dataclass(slots=True)
class Bucket:
    """A token bucket that can go into debt for a large request.

    A request is admitted once a small amount has accrued. The requests after it
    wait until its whole cost has accrued. So a prompt that is larger than the
    allowance of a second is not refused, and the average rate stays within the
    limit.

    :param rate: units per second.
    :param burst: largest number of units that can accumulate.
    :param level: units at ``updated_at``; negative while in debt.
    """

    rate: float
    burst: float
    level: float
    updated_at: float

    def refill(self, now: float) -> None:
        """Add the units that have accrued until ``now``."""
        accrued = (now - self.updated_at) * self.rate
        self.level = min(self.burst, self.level + max(0.0, accrued))
        self.updated_at = now

    def take(self, amount: float, now: float) -> float:
        """Take ``amount`` units if enough have accrued.

        :returns: 0 if they were taken, otherwise the seconds to wait.
        """
        self.refill(now)
        need = min(amount, self.burst, self.rate * MIN_CREDIT_S)
        if self.level >= need:
            self.level -= amount
            return 0.0
        return (need - self.level) / self.rate

    def put_back(self, amount: float) -> None:
        """Give back units that were taken and not used."""
        self.level = min(self.burst, self.level + amount)


@dataclasses.dataclass(slots=True)
class RecentRate:
    """An exponentially weighted event rate.

    :param tau_s: time in which an event's weight falls to 1/e, in seconds, as
        long as events come.
    :param memory_s: the same since the last event.
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
        """Return the rate, which decays slowly after the last event."""
        return self.rate * math.exp((self.updated_at - now) / self.memory_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """Rates of one account at one service, over all instances."""

    requests_per_s: float
    tokens_per_s: float
    share_tokens_per_s: float


@dataclasses.dataclass(slots=True)
class FairShare:
    """Tracks by how much an account exceeds its share of a service.

    Prompts of an account within its share rank by arrival time. Prompts of an
    account that exceeds it rank as if they had arrived later, so that they run
    after the prompts of other accounts, and are refused before them. While the
    service is idle, this costs the account nothing.

    :param rate: the share, in tokens per second.
    :param paid_until: time until which the prompts so far use up the share.
    """

    MAX_LAG_S = 30.0
    SLACK_S = 0.5

    rate: float
    paid_until: float

    def add(self, tokens: float, now: float) -> float:
        """Record a prompt, and return the seconds by which it ranks later."""
        self.paid_until = max(self.paid_until, now - self.SLACK_S)
        lag_s = max(0.0, self.paid_until - now)
        max_paid_until = now + self.MAX_LAG_S
        self.paid_until = min(max_paid_until, self.paid_until + tokens / self.rate)
        return lag_s


@dataclasses.dataclass(slots=True)
class _AccountLimits:
    requests: Bucket
    tokens: Bucket
    share: FairShare


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """The owner's decision on one request.

    :param wait_s: 0 if it is admitted, otherwise the seconds to wait.
    :param lag_s: seconds by which the prompt ranks later.
    """

    wait_s: float
    lag_s: float = 0.0


class OwnerLimits:
    """Limits of the accounts that this instance owns, by account key.

    :param idle_s: time without requests after which an account is dropped.
    """

    BURST_S = 1.0

    def __init__(self, idle_s: float = 60.0) -> None:
        self._account_by_key: dict[str, _AccountLimits] = {}
        self._idle_s = idle_s
        self._owners_changed_at = float("-inf")

    def __len__(self) -> int:
        return len(self._account_by_key)

    def record_owner_change(self, now: float) -> None:
        """Record that accounts may have moved to other owners.

        A bucket that is created soon afterwards starts empty, so that a change
        of owner never grants the same allowance twice.
        """
        self._owners_changed_at = now

    def forget(self, key: str) -> None:
        """Delete the limits of one account."""
        self._account_by_key.pop(key, None)

    def take(self, key: str, tokens: float, allowance: Allowance, now: float) -> Grant:
        """Admit one request of ``tokens``, or return how long it has to wait."""
        account = self._account(key, allowance, now)
        wait_s = account.requests.take(1, now)
        if wait_s:
            return Grant(wait_s)
        wait_s = account.tokens.take(tokens, now)
        if wait_s:
            account.requests.put_back(1)
            return Grant(wait_s)
        return Grant(0.0, account.share.add(tokens, now))

    def forget_idle(self, now: float) -> None:
        """Delete the limits of accounts without recent requests."""
        idle = [
            key
            for key, account in self._account_by_key.items()
            if now - account.requests.updated_at > self._idle_s
        ]
        for key in idle:
            del self._account_by_key[key]

    def _account(self, key: str, allowance: Allowance, now: float) -> _AccountLimits:
        account = self._account_by_key.get(key)
        if account is None:
            account = _AccountLimits(
                self._new_bucket(allowance.requests_per_s, now),
                self._new_bucket(allowance.tokens_per_s, now),
                FairShare(allowance.share_tokens_per_s, now),
            )
            self._account_by_key[key] = account
        self._set_rate(account.requests, allowance.requests_per_s, now)
        self._set_rate(account.tokens, allowance.tokens_per_s, now)
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
        refilling_s = now - self._owners_changed_at - HANDOVER_S
        level = min(burst, max(0.0, rate * refilling_s))
        return Bucket(rate, burst, level=level, updated_at=now)
