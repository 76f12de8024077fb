"""When a failed attempt may be followed by another."""

import dataclasses

from ..verdicts import Verdict


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Keeps retries to a fraction of first attempts, to stop retry storms.

    :param ratio: retries earned by each first attempt.
    :param reserve: retries that can be saved up.
    """

    ratio: float = 0.2
    reserve: float = 20.0
    level: float = 20.0

    def note_first_attempt(self) -> None:
        """Earn a fraction of a retry."""
        self.level = min(self.reserve, self.level + self.ratio)

    def take(self) -> bool:
        """Spend one retry; false when the budget is used up."""
        if self.level < 1:
            return False
        self.level -= 1
        return True


def may_retry(
    verdict: Verdict, *, repeatable: bool, attempts: int, max_attempts: int
) -> bool:
    """Return whether a further attempt keeps every promise to the caller."""
    if attempts >= max_attempts:
        return False
    return repeatable or verdict is Verdict.NOT_RUN
