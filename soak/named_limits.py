"""Checks that runners got no more requests than the limits that they named."""

import collections
import typing as t

from standins.runner import RunnerEvent

from .callers import RequestRecord
from .promises import Evidence
from .runner_events import RunnerEventRecord

WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5  # of what a limit allows in a window
ALLOWED_SLACK = 5  # requests in a window beyond that
IN_TOUCH_S = 3.0  # after a limit was first named, and after a fault of an instance
TOLD_S = 0.5  # after an instance passed on an answer that names the limit


def exceeded_limits(
    evidence: Evidence, by_id: t.Mapping[str, RequestRecord]
) -> list[str]:
    """Return a sentence for each runner that got too many requests."""
    events_by_runner = collections.defaultdict(list)
    for event in evidence.events:
        events_by_runner[event.runner].append(event)
    violations = []
    for runner, events in events_by_runner.items():
        for period in _limited_periods(events):
            violations += _check_period(evidence, by_id, runner, period)
    return violations


def _limited_periods(
    events: list[RunnerEventRecord],
) -> t.Iterator[list[RunnerEventRecord]]:
    """Return a runner's events from the first that names a limit to its end."""
    period: list[RunnerEventRecord] = []
    for event in events:
        if event.event is RunnerEvent.LIMIT_ENDED:
            yield period
            period = []
        elif period or event.event is RunnerEvent.NAMED_LIMIT:
            period.append(event)
    yield period


def _check_period(
    evidence: Evidence,
    by_id: t.Mapping[str, RequestRecord],
    runner: str,
    period: list[RunnerEventRecord],
) -> list[str]:
    named = [event for event in period if event.event is RunnerEvent.NAMED_LIMIT]
    if not named:
        return []
    told_at: dict[str, float] = {}
    for event in named:
        told_at.setdefault(by_id[event.request].instance, event.at)
    times = []
    for event in period:
        if event.event is not RunnerEvent.RECEIVED:
            continue
        instance = by_id[event.request].instance
        is_told = event.at >= told_at.get(instance, event.at) + TOLD_S
        is_late = event.at >= named[0].at + IN_TOUCH_S
        since = event.at - IN_TOUCH_S
        is_excused = evidence.disruptions.overlap(instance, since, event.at)
        if is_told and is_late and not is_excused:
            times.append(event.at)
    allowed = ALLOWED_FACTOR * WINDOW_S * max(event.per_s for event in named)
    allowed += ALLOWED_SLACK
    for index, start in enumerate(times):
        count = sum(start <= at < start + WINDOW_S for at in times[index:])
        if count > allowed:
            return [f"{runner} got {count} requests in {WINDOW_S} s, not {allowed}"]
    return []
