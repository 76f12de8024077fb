"""How a service's slots are shared by client account and by priority.

Load pattern: a few accounts ask for far more than there is room for, through some or
all instances, while others ask for little. Each account may have an equal share of the
slots; what some don't use is lent to the others, who give it back as it is asked for.
Urgent requests go before the others, which are left a small part of the slots.
"""

import collections
import dataclasses
import enum
import math
import typing as t

import xxhash

from ._ids import AccountId

AccountHash = t.NewType("AccountHash", int)

NO_ACCOUNT = AccountHash(0)
RESERVED_ROOTS = 1.0  # free slots for each square root of the jobs they are kept for
LESS_URGENT_SHARE = 0.125  # of the slots, which urgent requests don't take for long


def account_hash(account: AccountId | None) -> AccountHash:
    """Return 32 bits that stand for an account in messages between instances."""
    if account is None:
        return NO_ACCOUNT
    return AccountHash(xxhash.xxh32_intdigest(account.encode()) or 1)


class Claim(enum.IntEnum):
    """How strong a request's claim to a slot is; the lowest number goes first.

    Starved are less urgent requests that have waited long, as long as requests of
    their kind have few slots.
    """

    STARVED = 0
    URGENT = 1
    URGENT_ABOVE_SHARE = 2
    LESS_URGENT = 3
    LESS_URGENT_ABOVE_SHARE = 4


class SlotUsage:
    """The jobs of all instances at a service's engines, by account and urgency.

    Its size is bounded by the number of running jobs, not by that of the accounts.

    :ivar jobs: number of all jobs.
    :ivar less_urgent_jobs: how many of them belong to less urgent requests.
    """

    def __init__(self) -> None:
        self._jobs_by_account: collections.Counter[AccountHash] = collections.Counter()
        self._less_urgent_by_account: collections.Counter[AccountHash] = (
            collections.Counter()
        )
        self.jobs = 0
        self.less_urgent_jobs = 0

    def add(self, account: AccountHash, is_less_urgent: bool = False) -> None:
        """Count a job that was placed."""
        self._change(account, is_less_urgent, 1)

    def remove(self, account: AccountHash, is_less_urgent: bool = False) -> None:
        """Count a job as ended."""
        self._change(account, is_less_urgent, -1)

    def _change(self, account: AccountHash, is_less_urgent: bool, by: int) -> None:
        self.jobs += by
        self.less_urgent_jobs += by * is_less_urgent
        if account == NO_ACCOUNT:
            return
        _add_count(self._jobs_by_account, account, by)
        if is_less_urgent:
            _add_count(self._less_urgent_by_account, account, by)

    def jobs_of(self, account: AccountHash) -> int:
        """Return the number of jobs that an account has."""
        return self._jobs_by_account.get(account, 0)

    def less_urgent_jobs_of(self, account: AccountHash) -> int:
        """Return how many of an account's jobs belong to less urgent requests."""
        return self._less_urgent_by_account.get(account, 0)

    def accounts(self) -> t.AbstractSet[AccountHash]:
        """Return the accounts that have jobs."""
        return self._jobs_by_account.keys()


def _add_count(
    counts: collections.Counter[AccountHash], account: AccountHash, by: int
) -> None:
    counts[account] += by
    if counts[account] <= 0:
        del counts[account]


@dataclasses.dataclass(frozen=True, slots=True)
class SlotShares:
    """How the slots of a service are shared at present.

    :param above_share: accounts that have more than their share of the slots, with the
        number of their jobs.
    :param reserved_by_claim: free slots that a request leaves to others whose claim is
        stronger than its own.
    :param is_less_urgent_due: less urgent requests have fewer slots than are left to
        them.
    """

    above_share: t.Mapping[AccountHash, int] = dataclasses.field(default_factory=dict)
    reserved_by_claim: t.Mapping[Claim, int] = dataclasses.field(default_factory=dict)
    is_less_urgent_due: bool = False


def slot_shares(
    usage: SlotUsage, waiting: t.Collection[AccountHash], slots: int
) -> SlotShares:
    """Return how the slots of a service are shared.

    :param waiting: accounts with requests that wait for a slot.
    :param slots: slots of the service's engines.
    """
    above_share = accounts_above_share(usage, waiting, slots)
    less_urgent_above = sum(usage.less_urgent_jobs_of(item) for item in above_share)
    jobs_above = sum(above_share.values())
    urgent = usage.jobs - usage.less_urgent_jobs
    stronger_jobs_by_claim = {
        Claim.URGENT_ABOVE_SHARE: urgent - (jobs_above - less_urgent_above),
        Claim.LESS_URGENT: urgent,
        Claim.LESS_URGENT_ABOVE_SHARE: usage.jobs - less_urgent_above,
    }
    return SlotShares(
        above_share,
        {claim: _reserve(jobs) for claim, jobs in stronger_jobs_by_claim.items()},
        usage.less_urgent_jobs < math.ceil(LESS_URGENT_SHARE * slots),
    )


def _reserve(stronger_jobs: int) -> int:
    """Return how many free slots are kept for claims that have some jobs at present.

    What arrives at random varies with the square root of its amount.
    """
    return math.ceil(RESERVED_ROOTS * math.sqrt(max(0, stronger_jobs)))


def accounts_above_share(
    usage: SlotUsage, waiting: t.Collection[AccountHash], slots: int
) -> dict[AccountHash, int]:
    """Return the accounts that have as much as their equal share, or more.

    Each comes with the number of its jobs.

    :param waiting: accounts with requests that wait for a slot.
    :param slots: slots of the service's engines.
    """
    active = usage.accounts() | {item for item in waiting if item != NO_ACCOUNT}
    if len(active) < 2:
        return {}
    share = slots / len(active)
    jobs_by_account = {account: usage.jobs_of(account) for account in active}
    return {account: jobs for account, jobs in jobs_by_account.items() if jobs >= share}
