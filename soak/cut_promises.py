"""Checks that clients of instances that are cut off from all runners are served."""

from .callers import RequestRecord
from .promises import Evidence

DETECTED_S = 3.0  # after the beginning of a cut
MIN_SAMPLE = 20  # requests at the instance, and at the others
SERVED_SHARE = 2 / 3  # of what the others serve


def unserved_cuts(evidence: Evidence) -> list[str]:
    """Return a sentence for each cut during which clients were served far worse."""
    violations = []
    for cut in evidence.cuts:
        since = cut.since + DETECTED_S
        own, others = [], []
        for record in evidence.history:
            if not since <= record.at <= record.ended_at <= cut.until:
                continue
            if record.crashes or evidence.is_excused(record):
                continue
            is_own = record.instance == cut.instance
            if is_own and not _has_helper(evidence, record):
                continue
            served = record.is_whole and record.status == 200
            (own if is_own else others).append(served)
        if min(len(own), len(others)) < MIN_SAMPLE:
            continue
        if sum(own) / len(own) < SERVED_SHARE * sum(others) / len(others):
            violations.append(
                f"{cut.instance} was cut off at {cut.since:.2f} and served "
                f"{sum(own)} of {len(own)}, the others {sum(others)} of {len(others)}"
            )
    return violations


def _has_helper(evidence: Evidence, record: RequestRecord) -> bool:
    """Return whether another instance ran undisturbed while a request was served.

    While all others are being killed or restarted, nobody could help.
    """
    others = {other.instance for other in evidence.history} - {record.instance}
    return not all(
        evidence.disruptions.overlap(other, record.at, record.ended_at)
        for other in others
    )
