"""Ledger entries of calls that must not run twice.

There is one row per client account, service and idempotency key. It is inserted
as DISPATCHED before the first byte is sent to an endpoint. A later call under the
same key never takes over a row in that state, but reports the state to its
caller. Only the writer of the row may reset it to NOT_RUN, and only with proof.
"""

import dataclasses
import typing as t
from enum import Enum

from ..verdicts import Verdict
from ._ids import AccountId, ServiceId


class EntryState(Enum):
    """Progress of the call."""

    DISPATCHED = "dispatched"
    NOT_RUN = "not_run"
    DONE = "done"
    UNKNOWN = "unknown"


class Outcome(t.TypedDict):
    """The endpoint's answer as stored in the ledger."""

    status: int
    content_type: str
    body: str


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One row of the ledger.

    :param key: the idempotency key.
    :param digest: digest of the request body.
    :param token: attempt id of the writer, which distinguishes writes.
    :param deadline_ms: wall-clock time from which the call can't be running.
    :param written_ms: wall-clock time of the write.
    """

    account: AccountId
    service: ServiceId
    key: str
    digest: str
    state: EntryState
    token: str
    endpoint: str
    deadline_ms: int
    written_ms: int
    outcome: Outcome | None = None

    def to_row(self) -> dict[str, t.Any]:
        """Return the entry as the value of a store row."""
        return {**dataclasses.asdict(self), "state": self.state.value}

    @classmethod
    def from_row(cls, value: t.Mapping[str, t.Any]) -> "Entry":
        """Return the entry that is stored as the value of a row."""
        return cls(**{**value, "state": EntryState(value["state"])})


class EntryAssessment(Enum):
    """Meaning of the stored entry for a new call under the same key."""

    FREE = "free"
    OTHER_BODY = "other_body"
    IN_PROGRESS = "in_progress"
    FINISHED = "finished"
    UNKNOWN = "unknown"


def assess_entry(entry: Entry | None, digest: str, now_ms: int) -> EntryAssessment:
    """Return the meaning of ``entry`` for a call with this body digest."""
    if entry is None:
        return EntryAssessment.FREE
    if entry.digest != digest:
        return EntryAssessment.OTHER_BODY
    if entry.state is EntryState.NOT_RUN:
        return EntryAssessment.FREE
    if entry.state is EntryState.DONE:
        return EntryAssessment.FINISHED
    if entry.state is EntryState.DISPATCHED and now_ms < entry.deadline_ms:
        return EntryAssessment.IN_PROGRESS
    return EntryAssessment.UNKNOWN


def closed_entry(entry: Entry, verdict: Verdict, outcome: Outcome | None) -> Entry:
    """Return the final entry of a call with this verdict and answer."""
    if outcome is not None:
        return dataclasses.replace(entry, state=EntryState.DONE, outcome=outcome)
    if verdict is Verdict.NOT_RUN:
        return dataclasses.replace(entry, state=EntryState.NOT_RUN)
    return dataclasses.replace(entry, state=EntryState.UNKNOWN)
