"""Decides when a failed attempt may be retried."""

import dataclasses

from ..verdicts import Verdict


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Limits retries to a fraction of first attempts, to prevent retry storms.

    :param ratio: retries earned by each first attempt.
    :param reserve: largest number of retries that can accumulate.
    :param level: retries that are available now.
    """

    ratio: float = 0.2
    reserve: float = 20.0
    level: float = 20.0

    def record_first_attempt(self) -> None:
        """Record a first attempt, which earns a fraction of a retry."""
        self.level = min(self.reserve, self.level + self.ratio)

    def take(self) -> bool:
        """Take one retry from the budget; return false if it is used up."""
        if self.level < 1:
            return False
        self.level -= 1
        return True


def may_retry(
    verdict: Verdict, *, repeatable: bool, attempts: int, max_attempts: int
) -> bool:
    """Return whether another attempt is allowed.

    A request that must not run twice is retried only with proof that it has not
    run.

    :param repeatable: whether the request may run more than once.
    :param attempts: number of attempts so far.
    """
    if attempts >= max_attempts:
        return False
    return repeatable or verdict is Verdict.NOT_RUN
