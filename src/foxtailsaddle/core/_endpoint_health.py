"""Which endpoints fail or are slow, told from the fleet's own traffic.

Load pattern: some endpoints fail part of their requests, hang or slow down
while their entry in the list stays good. Outcomes of all instances count, and
old ones fade, so that an endpoint is tried again without a probe.
"""

import dataclasses
import math
import typing as t
from enum import Enum

from ._ids import EndpointId

FADE_S = 4.0
PRIOR_TRIES = 4.0
PRIOR_FAILURES = 0.05
SHUN_FAILURES = 1.5
MAX_PACE = 20.0
MIN_PACE = 0.5


class AttemptOutcome(Enum):
    """How an attempt at an endpoint ended, as far as it tells of its health."""

    GOOD = 0
    FAILED = 1
    NEUTRAL = 2
    UNREACHED = 3
    STUCK = 4  # one of the engines that read a prompt together did not read


@dataclasses.dataclass(slots=True)
class _Record:
    tries: float = 0.0
    failures: float = 0.0
    unbroken: float = 0.0
    pace: float = 1.0
    doubt: float = 0.0
    at: float = 0.0


class EndpointHealth:
    """Failures and pace by endpoint."""

    def __init__(self) -> None:
        self._record_by_endpoint: dict[EndpointId, _Record] = {}

    def note(self, endpoint: EndpointId, outcome: AttemptOutcome, now: float) -> None:
        """Count how an attempt ended."""
        if outcome in (AttemptOutcome.NEUTRAL, AttemptOutcome.STUCK):
            return
        record = self._faded(endpoint, now)
        record.tries += 1
        if outcome is AttemptOutcome.GOOD:
            record.unbroken = 0.0
            return
        record.failures += 1
        record.unbroken += 2 if outcome is AttemptOutcome.UNREACHED else 1

    def note_pace(self, endpoint: EndpointId, pace: float, now: float) -> None:
        """Take in how much slower than predicted an endpoint was."""
        record = self._faded(endpoint, now)
        record.pace = min(MAX_PACE, max(MIN_PACE, pace))

    def note_together(
        self, members: t.Collection[EndpointId], outcome: AttemptOutcome, now: float
    ) -> None:
        """Take in how a prompt fared that several engines read together.

        Which of them held it up is not told, so each is doubted a little; a
        prompt that was read clears them.
        """
        if len(members) < 2:
            return
        for endpoint in members:
            if outcome is AttemptOutcome.STUCK:
                self._faded(endpoint, now).doubt += 1 / len(members)
            elif outcome is AttemptOutcome.GOOD:
                self._faded(endpoint, now).doubt = 0.0

    def doubt(self, endpoint: EndpointId, now: float) -> float:
        """Return how far an engine is doubted to read its part, from 0."""
        if endpoint not in self._record_by_endpoint:
            return 0.0
        return self._faded(endpoint, now).doubt

    def failure_share(self, endpoint: EndpointId, now: float) -> float:
        """Return the share of attempts that is expected to fail."""
        record = self._record_by_endpoint.get(endpoint)
        if record is None:
            return PRIOR_FAILURES / PRIOR_TRIES
        record = self._faded(endpoint, now)
        failures = record.failures + record.unbroken + PRIOR_FAILURES
        return min(1.0, failures / (record.tries + record.unbroken + PRIOR_TRIES))

    def is_shunned(self, endpoint: EndpointId, now: float) -> bool:
        """Return whether an endpoint only fails at present."""
        if endpoint not in self._record_by_endpoint:
            return False
        return self._faded(endpoint, now).unbroken >= SHUN_FAILURES

    def pace(self, endpoint: EndpointId, now: float) -> float:
        """Return how many times slower than its published speed it is."""
        if endpoint not in self._record_by_endpoint:
            return 1.0
        return self._faded(endpoint, now).pace

    def forget(self, endpoint: EndpointId) -> None:
        """Drop what is known of an endpoint."""
        self._record_by_endpoint.pop(endpoint, None)

    def _faded(self, endpoint: EndpointId, now: float) -> _Record:
        record = self._record_by_endpoint.setdefault(endpoint, _Record(at=now))
        age_s = now - record.at
        if age_s > 0:
            keep = math.exp(-age_s / FADE_S)
            record.tries *= keep
            record.failures *= keep
            record.unbroken *= keep
            record.doubt *= keep
            record.pace = 1 + (record.pace - 1) * keep
            record.at = now
        return record
