"""The ledger row of a call that may not be repeated.

One row per client account, service and idempotency key. It is inserted as
DISPATCHED before the first byte goes to an endpoint, and nobody takes over a
row in that state: whoever meets it reports on it. Only its own writer may turn
it back, to NOT_RUN, and only with proof.
"""

import dataclasses
import typing as t
from enum import Enum

from ..verdicts import Verdict
from ._ids import AccountId, ServiceId


class EntryState(Enum):
    """How far the call has come."""

    DISPATCHED = "dispatched"
    NOT_RUN = "not_run"
    DONE = "done"
    UNKNOWN = "unknown"


class Outcome(t.TypedDict):
    """The stored answer of the endpoint."""

    status: int
    content_type: str
    body: str


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One row of the ledger.

    :param token: the attempt id of the writer, which tells writes apart.
    :param deadline_ms: wall-clock time after which its call can't be running.
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
        """Return the entry as a row value."""
        return {**dataclasses.asdict(self), "state": self.state.value}

    @classmethod
    def from_row(cls, value: t.Mapping[str, t.Any]) -> "Entry":
        """Read an entry from a row value."""
        return cls(**{**value, "state": EntryState(value["state"])})


class Finding(Enum):
    """What a present entry means to a new call under the same key."""

    FREE = "free"
    OTHER_BODY = "other_body"
    IN_PROGRESS = "in_progress"
    FINISHED = "finished"
    UNKNOWN = "unknown"


def find(entry: Entry | None, digest: str, now_ms: int) -> Finding:
    """Return what ``entry`` means to a call with this body digest."""
    if entry is None:
        return Finding.FREE
    if entry.digest != digest:
        return Finding.OTHER_BODY
    if entry.state is EntryState.NOT_RUN:
        return Finding.FREE
    if entry.state is EntryState.DONE:
        return Finding.FINISHED
    if entry.state is EntryState.DISPATCHED and now_ms < entry.deadline_ms:
        return Finding.IN_PROGRESS
    return Finding.UNKNOWN


def closing(entry: Entry, verdict: Verdict, outcome: Outcome | None) -> Entry:
    """Return the entry that closes a call with this verdict."""
    if outcome is not None:
        return dataclasses.replace(entry, state=EntryState.DONE, outcome=outcome)
    if verdict is Verdict.NOT_RUN:
        return dataclasses.replace(entry, state=EntryState.NOT_RUN)
    return dataclasses.replace(entry, state=EntryState.UNKNOWN)
