"""Checks that evacuated data centres got nothing new during a soak test."""

import typing as t

from standins.runner import RunnerEvent

from .callers import RequestRecord
from .disruptions import STORE
from .promises import Evidence

EVACUATION_S = 5.0  # after the store acknowledged it
IN_TOUCH_S = 3.0


def requests_into_evacuated(
    evidence: Evidence, by_id: t.Mapping[str, RequestRecord]
) -> list[str]:
    """Return a sentence for each request that reached an evacuated data centre."""
    violations = []
    for event in evidence.events:
        if event.event is not RunnerEvent.RECEIVED:
            continue
        record = by_id[event.request]
        for evacuation in evidence.evacuations:
            since = evacuation.since + EVACUATION_S
            is_there = event.runner in evacuation.runners
            if not (is_there and since < event.at < evacuation.until):
                continue
            places = (record.instance, STORE)
            if any(
                evidence.disruptions.overlap(place, event.at - IN_TOUCH_S, event.at)
                for place in places
            ):
                continue
            violations.append(
                f"{record.id} reached {event.runner} from {record.instance} "
                f"{event.at - evacuation.since:.2f} s after its evacuation"
            )
    return violations
