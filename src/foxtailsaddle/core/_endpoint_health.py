"""Failure rates and slowdown of endpoints, observed from the regular traffic.

Load pattern: some endpoints fail part of their requests, hang or slow down while
the platform's list still shows them as ready. The outcomes of all instances
count. Their weight decays with age, so that a failing endpoint gets traffic again
without a health probe.
"""

import dataclasses
import math
import typing as t
from enum import Enum

from ._ids import EndpointId

DECAY_S = 4.0  # in which the weight of an outcome falls to 1/e
PRIOR_ATTEMPTS = 4.0  # attempts assumed of an endpoint without history
PRIOR_FAILURES = 0.05  # failures assumed among them
FAILING_STREAK = 1.5  # decayed failures in a row that mark an endpoint as failing
SILENCE_STREAK = 2.0  # failures in a row that a silence counts as
# The streams of an engine that falls silent end within this time of each other.
SILENCE_WINDOW_S = 1.0
MAX_SLOWDOWN = 20.0
MIN_SLOWDOWN = 0.5


class AttemptOutcome(Enum):
    """How an attempt ended, with regard to the health of its endpoint."""

    GOOD = 0
    FAILED = 1
    NEUTRAL = 2  # says nothing about the health of the endpoint
    UNREACHABLE = 3  # no connection to the endpoint could be opened
    STUCK = 4  # one of several engines that prefill a prompt made no progress
    SILENT = 5  # the endpoint sent nothing for long; it may go on
    RESUMED = 6  # the endpoint has sent something after a silence


@dataclasses.dataclass(slots=True)
class _HealthRecord:
    """Decayed counts of one endpoint.

    :ivar failure_streak: failures since the last success.
    :ivar silence_streak: silences since the endpoint was last heard.
    :ivar silence_counted_at: when a silence was last added to the counts.
    :ivar silent_at: when a stream was last given up because of a silence.
    :ivar stall_suspicion: how likely it stalls shared prefills, from 0.
    :ivar updated_at: time to which the counts are decayed.
    """

    attempts: float = 0.0
    failures: float = 0.0
    failure_streak: float = 0.0
    silence_streak: float = 0.0
    silence_counted_at: float = -math.inf
    silent_at: float = -math.inf
    slowdown: float = 1.0
    stall_suspicion: float = 0.0
    updated_at: float = 0.0

    @property
    def streak(self) -> float:
        """Failures and silences since the endpoint last did well."""
        return self.failure_streak + self.silence_streak


class EndpointHealth:
    """Tracks the failures and the slowdown of each endpoint."""

    def __init__(self) -> None:
        self._record_by_endpoint: dict[EndpointId, _HealthRecord] = {}

    def record_outcome(
        self, endpoint: EndpointId, outcome: AttemptOutcome, now: float
    ) -> None:
        """Record how an attempt ended."""
        if outcome in (AttemptOutcome.NEUTRAL, AttemptOutcome.STUCK):
            return
        record = self._decayed_record(endpoint, now)
        if outcome is AttemptOutcome.RESUMED:
            record.silence_streak = 0.0
            return
        if outcome is AttemptOutcome.SILENT:
            _record_silence(record, now)
            return
        record.attempts += 1
        if outcome is AttemptOutcome.GOOD:
            record.failure_streak = 0.0
            record.silence_streak = 0.0
            return
        record.failures += 1
        record.failure_streak += 2 if outcome is AttemptOutcome.UNREACHABLE else 1

    def record_slowdown(
        self, endpoint: EndpointId, slowdown: float, now: float
    ) -> None:
        """Record how many times slower than predicted an endpoint was."""
        record = self._decayed_record(endpoint, now)
        record.slowdown = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown))

    def record_shared_prefill(
        self, members: t.Collection[EndpointId], outcome: AttemptOutcome, now: float
    ) -> None:
        """Record the outcome of a prompt that several engines prefill together.

        Which of them stalled is not known, so a stall raises the suspicion of
        each by an equal part. A success resets it.
        """
        if len(members) < 2:
            return
        for endpoint in members:
            if outcome is AttemptOutcome.STUCK:
                self._decayed_record(endpoint, now).stall_suspicion += 1 / len(members)
            elif outcome is AttemptOutcome.GOOD:
                self._decayed_record(endpoint, now).stall_suspicion = 0.0

    def stall_suspicion(self, endpoint: EndpointId, now: float) -> float:
        """Return how likely an engine stalls shared prefills, from 0."""
        if endpoint not in self._record_by_endpoint:
            return 0.0
        return self._decayed_record(endpoint, now).stall_suspicion

    def failure_share(self, endpoint: EndpointId, now: float) -> float:
        """Return the expected share of failing attempts, from 0 to 1."""
        record = self._record_by_endpoint.get(endpoint)
        if record is None:
            return PRIOR_FAILURES / PRIOR_ATTEMPTS
        record = self._decayed_record(endpoint, now)
        failures = record.failures + record.streak + PRIOR_FAILURES
        return min(1.0, failures / (record.attempts + record.streak + PRIOR_ATTEMPTS))

    def is_failing(self, endpoint: EndpointId, now: float) -> bool:
        """Return whether recent attempts at an endpoint keep failing."""
        if endpoint not in self._record_by_endpoint:
            return False
        return self._decayed_record(endpoint, now).streak >= FAILING_STREAK

    def has_fallen_silent(self, endpoint: EndpointId, now: float) -> bool:
        """Return whether an endpoint has not been heard since it was given up."""
        if endpoint not in self._record_by_endpoint:
            return False
        return self._decayed_record(endpoint, now).silence_streak > 0

    def last_silence_at(self, endpoint: EndpointId) -> float:
        """Return when a stream was last given up because its engine was silent."""
        record = self._record_by_endpoint.get(endpoint)
        return record.silent_at if record else -math.inf

    def slowdown(self, endpoint: EndpointId, now: float) -> float:
        """Return how many times slower than its published speed an endpoint is."""
        if endpoint not in self._record_by_endpoint:
            return 1.0
        return self._decayed_record(endpoint, now).slowdown

    def forget(self, endpoint: EndpointId) -> None:
        """Delete the history of an endpoint."""
        self._record_by_endpoint.pop(endpoint, None)

    def _decayed_record(self, endpoint: EndpointId, now: float) -> _HealthRecord:
        record = self._record_by_endpoint.setdefault(
            endpoint, _HealthRecord(updated_at=now)
        )
        age_s = now - record.updated_at
        if age_s > 0:
            decay = math.exp(-age_s / DECAY_S)
            record.attempts *= decay
            record.failures *= decay
            record.failure_streak *= decay
            record.silence_streak *= decay
            record.stall_suspicion *= decay
            record.slowdown = 1 + (record.slowdown - 1) * decay
            record.updated_at = now
        return record


def _record_silence(record: _HealthRecord, now: float) -> None:
    """Count a silence once, however many streams it ended."""
    record.silent_at = now
    if now - record.silence_counted_at < SILENCE_WINDOW_S:
        return
    record.silence_counted_at = now
    record.attempts += 1
    record.failures += 1
    record.silence_streak += SILENCE_STREAK
