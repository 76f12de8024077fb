"""Protection against requests that crash the endpoints that run them.

A fingerprint is the digest of a client account and a request body. Endpoint
deaths and running copies of a request are counted together, so that one
fingerprint can crash at most ``max_deaths`` endpoints, however often the request
is sent.
"""

import dataclasses
import typing as t

MAX_DEATHS = 2
COPY_RETRY_S = 1.0  # until a copy is tried again while too many are running


@dataclasses.dataclass(slots=True)
class _FingerprintRecord:
    """Deaths and running copies of one request fingerprint.

    :ivar expiry_by_death: when each suspected death stops counting.
    :ivar cleared_deaths: deaths that the request did not cause.
    :ivar end_by_copy: the latest end of each running copy.
    :ivar expires_at: when the whole record can be dropped.
    """

    expiry_by_death: dict[t.Hashable, float] = dataclasses.field(default_factory=dict)
    cleared_deaths: set[t.Hashable] = dataclasses.field(default_factory=set)
    end_by_copy: dict[str, float] = dataclasses.field(default_factory=dict)
    expires_at: float = 0.0


class CrashGuard:
    """Counts endpoint deaths and running copies by request fingerprint.

    :param memory_s: seconds for which a death counts.
    :param max_deaths: number of deaths at which a fingerprint is refused.
    """

    def __init__(self, memory_s: float = 600.0, max_deaths: int = MAX_DEATHS) -> None:
        self._memory_s = memory_s
        self._max_deaths = max_deaths
        self._record_by_fingerprint: dict[str, _FingerprintRecord] = {}

    def __len__(self) -> int:
        return len(self._record_by_fingerprint)

    def record_death(
        self,
        fingerprint: str,
        death: t.Hashable,
        now: float,
        left_s: float | None = None,
    ) -> None:
        """Record that an endpoint died while it ran the request.

        :param death: identifies the endpoint's incarnation, so that several
            reports of one death count once.
        :param left_s: seconds for which a death reported by a peer still counts.
            With a fresh period for each report, peers that exchange reports
            would never let a death expire.
        """
        expires_at = now + (self._memory_s if left_s is None else left_s)
        if expires_at <= now:
            return
        record = self._record_by_fingerprint.setdefault(
            fingerprint, _FingerprintRecord()
        )
        if death in record.cleared_deaths:
            return
        record.expiry_by_death[death] = min(
            expires_at, record.expiry_by_death.get(death, expires_at)
        )
        record.expires_at = max(record.expires_at, record.expiry_by_death[death])

    def deaths(self, fingerprint: str, now: float) -> int:
        """Return how many endpoint deaths count against the fingerprint."""
        record = self._current_record(fingerprint, now)
        return len(record.expiry_by_death) if record else 0

    def refused_for_s(self, fingerprint: str, now: float) -> float:
        """Return the seconds for which the fingerprint is refused, or 0."""
        if self.deaths(fingerprint, now) < self._max_deaths:
            return 0.0
        return (
            min(self._record_by_fingerprint[fingerprint].expiry_by_death.values()) - now
        )

    def start(self, fingerprint: str, request: str, until: float, now: float) -> float:
        """Register a running copy of a request, unless too many are running.

        :param request: id of the copy; a copy that is started twice counts once.
        :param until: latest time at which the copy ends.
        :returns: 0 if the copy may run, otherwise the seconds to wait.
        """
        refused_s = self.refused_for_s(fingerprint, now)
        if refused_s:
            return refused_s
        record = self._record_by_fingerprint.setdefault(
            fingerprint, _FingerprintRecord()
        )
        running = _drop_finished_copies(record, now)
        running.pop(request, None)
        record.expires_at = max(record.expires_at, now)
        if len(record.expiry_by_death) + len(running) >= self._max_deaths:
            return COPY_RETRY_S
        running[request] = until
        record.expires_at = max(record.expires_at, until)
        return 0.0

    def end(self, fingerprint: str, request: str, whole: bool) -> None:
        """Remove a copy that has ended.

        :param whole: whether its answer was complete. A complete answer clears
            the request of all deaths so far: another request that ran on the
            same endpoints caused them.
        """
        record = self._record_by_fingerprint.get(fingerprint)
        if record is None:
            return
        record.end_by_copy.pop(request, None)
        if whole:
            self.clear(fingerprint)
        if not (record.expiry_by_death or record.cleared_deaths or record.end_by_copy):
            del self._record_by_fingerprint[fingerprint]

    def clear(self, fingerprint: str) -> bool:
        """Clear a request of all deaths so far; return whether there were any.

        A copy of it was answered, so another request caused them.
        """
        record = self._record_by_fingerprint.get(fingerprint)
        if record is None or not record.expiry_by_death:
            return False
        record.cleared_deaths |= set(record.expiry_by_death)
        record.expiry_by_death.clear()
        return True

    def suspicions(self, now: float) -> list[tuple[str, t.Any, float]]:
        """Return (fingerprint, death, seconds left) of all deaths, for peers.

        The fingerprints with most deaths come first.
        """
        for fingerprint in list(self._record_by_fingerprint):
            self._current_record(fingerprint, now)
        records = sorted(
            self._record_by_fingerprint.items(),
            key=lambda item: len(item[1].expiry_by_death),
            reverse=True,
        )
        return [
            (fingerprint, death, expires_at - now)
            for fingerprint, record in records
            for death, expires_at in sorted(record.expiry_by_death.items())
        ]

    def _current_record(
        self, fingerprint: str, now: float
    ) -> _FingerprintRecord | None:
        record = self._record_by_fingerprint.get(fingerprint)
        if record is None:
            return None
        record.expiry_by_death = {
            death: expires_at
            for death, expires_at in record.expiry_by_death.items()
            if expires_at > now
        }
        if record.expires_at <= now:
            del self._record_by_fingerprint[fingerprint]
            return None
        return record


def _drop_finished_copies(record: _FingerprintRecord, now: float) -> dict[str, float]:
    record.end_by_copy = {
        request: ends_at
        for request, ends_at in record.end_by_copy.items()
        if ends_at > now
    }
    return record.end_by_copy
