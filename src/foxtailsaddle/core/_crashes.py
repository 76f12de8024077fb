"""Requests that crash the endpoints that run them.

A fingerprint is the digest of client account and body. Deaths of endpoints and
running copies of a request are counted together, so that no more than
``max_deaths`` endpoints can fall to one fingerprint, however often it is sent.
"""

import dataclasses

MAX_DEATHS = 2
COPY_WAIT_S = 1.0


@dataclasses.dataclass(slots=True)
class _Record:
    deaths: dict[str, float] = dataclasses.field(default_factory=dict)
    cleared: set[str] = dataclasses.field(default_factory=set)
    running_until: dict[str, float] = dataclasses.field(default_factory=dict)
    until: float = 0.0


class CrashGuard:
    """Deaths and running copies, by request fingerprint.

    :param hold_s: seconds for which a death is remembered.
    :param max_deaths: deaths from which on a fingerprint is refused.
    """

    def __init__(self, hold_s: float = 600.0, max_deaths: int = MAX_DEATHS) -> None:
        self._hold_s = hold_s
        self._max_deaths = max_deaths
        self._by_fingerprint: dict[str, _Record] = {}

    def __len__(self) -> int:
        return len(self._by_fingerprint)

    def note_death(
        self, fingerprint: str, death: str, now: float, left_s: float | None = None
    ) -> None:
        """Record that an endpoint died while it ran the request.

        :param death: names the endpoint's incarnation, so that many reports
            of one death count once.
        :param left_s: seconds for which it still counts, when a peer tells of
            it. Otherwise peers that tell each other would remember for ever.
        """
        record = self._by_fingerprint.setdefault(fingerprint, _Record())
        if death in record.cleared:
            return
        until = now + (self._hold_s if left_s is None else left_s)
        record.deaths[death] = min(until, record.deaths.get(death, until))
        record.until = max(record.until, record.deaths[death])

    def deaths(self, fingerprint: str, now: float) -> int:
        """Return how many deaths the fingerprint is suspected of."""
        record = self._live(fingerprint, now)
        return len(record.deaths) if record else 0

    def held_for(self, fingerprint: str, now: float) -> float:
        """Return the seconds that the fingerprint stays refused, else 0."""
        if self.deaths(fingerprint, now) < self._max_deaths:
            return 0.0
        return min(self._by_fingerprint[fingerprint].deaths.values()) - now

    def start(self, fingerprint: str, request: str, until: float, now: float) -> float:
        """Count a copy as running; return 0, or the seconds to wait instead.

        :param request: names the copy; starting it again counts once.
        :param until: when the copy has ended at the latest.
        """
        held_s = self.held_for(fingerprint, now)
        if held_s:
            return held_s
        record = self._by_fingerprint.setdefault(fingerprint, _Record())
        running = _still_running(record, now)
        running.pop(request, None)
        record.until = max(record.until, now)
        if len(record.deaths) + len(running) >= self._max_deaths:
            return COPY_WAIT_S
        running[request] = until
        record.until = max(record.until, until)
        return 0.0

    def end(self, fingerprint: str, request: str, whole: bool) -> None:
        """Count a copy as ended.

        :param whole: its answer was whole, which clears the request of the
            deaths so far: it was a neighbour of what caused them.
        """
        record = self._by_fingerprint.get(fingerprint)
        if record is None:
            return
        record.running_until.pop(request, None)
        if whole:
            record.cleared |= set(record.deaths)
            record.deaths.clear()
        if not (record.deaths or record.cleared or record.running_until):
            del self._by_fingerprint[fingerprint]

    def suspicions(self, now: float) -> list[tuple[str, str, float]]:
        """Return (fingerprint, death, seconds left) to tell the peers of."""
        for fingerprint in list(self._by_fingerprint):
            self._live(fingerprint, now)
        return [
            (fingerprint, death, until - now)
            for fingerprint, record in self._by_fingerprint.items()
            for death, until in sorted(record.deaths.items())
        ]

    def _live(self, fingerprint: str, now: float) -> _Record | None:
        record = self._by_fingerprint.get(fingerprint)
        if record is None:
            return None
        record.deaths = {
            death: until for death, until in record.deaths.items() if until > now
        }
        if record.until <= now:
            del self._by_fingerprint[fingerprint]
            return None
        return record


def _still_running(record: _Record, now: float) -> dict[str, float]:
    record.running_until = {
        request: until for request, until in record.running_until.items() if until > now
    }
    return record.running_until
