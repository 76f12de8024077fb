"""Checks that the wishes of endpoints were respected during a soak test."""

import typing as t

from standins.runner import RunnerEvent

from .callers import RequestRecord
from .cut_promises import unserved_cuts
from .disruptions import STORE
from .evacuations import requests_into_evacuated
from .named_limits import exceeded_limits
from .promises import Evidence
from .runner_events import RunnerEventRecord

DRAIN_TIMEOUT_S = 2.0
PAUSE_DELAY_S = 0.5  # after an answer that asks for a pause
MAX_REQUESTS_IN_PAUSE = 2
IN_TOUCH_S = 3.0
CRASHES = 5  # after which a part of prompts must be known
MAX_REQUESTS_WITH_PART = 3
MIN_SAMPLE = 20
MIN_SHARE = 0.5  # of healthy requests begun before, while a part is refused


def broken_endpoint_promises(evidence: Evidence) -> list[str]:
    """Return a sentence for each violation of a guarantee to endpoints."""
    by_id = {record.id: record for record in evidence.history}
    return [
        *_requests_after_leaving(evidence, by_id),
        *_requests_in_pauses(evidence, by_id),
        *_requests_that_crash(evidence, by_id),
        *_refused_healthy_requests(evidence),
        *exceeded_limits(evidence, by_id),
        *unserved_cuts(evidence),
        *requests_into_evacuated(evidence, by_id),
    ]


def _events(evidence: Evidence, kind: RunnerEvent) -> list[RunnerEventRecord]:
    return [event for event in evidence.events if event.event is kind]


def _requests_after_leaving(
    evidence: Evidence, by_id: t.Mapping[str, RequestRecord]
) -> list[str]:
    """Find requests at a runner whose leaving their instance had passed on."""
    told_at: dict[tuple[str, str], float] = {}
    for event in _events(evidence, RunnerEvent.SAID_LEAVING):
        record = by_id[event.request]
        if record.is_whole and record.status == 200:
            key = (event.runner, record.instance)
            told_at[key] = min(told_at.get(key, record.ended_at), record.ended_at)
    violations = []
    for event in _events(evidence, RunnerEvent.RECEIVED):
        record = by_id[event.request]
        since = told_at.get((event.runner, record.instance))
        if since is None or record.at <= since + DRAIN_TIMEOUT_S:
            continue
        if not evidence.disruptions.overlap(record.instance, since, record.at):
            violations.append(
                f"{record.id} reached {event.runner} from {record.instance} "
                f"{record.at - since:.2f} s after it was known to leave"
            )
    return violations


def _requests_in_pauses(
    evidence: Evidence, by_id: t.Mapping[str, RequestRecord]
) -> list[str]:
    """Find runners that got requests from an instance they wanted none from."""
    received = _events(evidence, RunnerEvent.RECEIVED)
    violations = []
    for event in _events(evidence, RunnerEvent.ASKED_FOR_PAUSE):
        instance = by_id[event.request].instance
        until = event.at + event.pause_s
        places = (instance, f"link {event.runner}")
        if any(evidence.disruptions.overlap(p, event.at, until) for p in places):
            continue
        requests = [
            other.request
            for other in received
            if event.at + PAUSE_DELAY_S < other.at < until
            and other.runner == event.runner
            and by_id[other.request].instance == instance
        ]
        if len(requests) > MAX_REQUESTS_IN_PAUSE:
            violations.append(
                f"{event.runner} got {len(requests)} requests from {instance} in a "
                f"pause of {event.pause_s} s: {requests[:4]}"
            )
    return violations


def _requests_that_crash(
    evidence: Evidence, by_id: t.Mapping[str, RequestRecord]
) -> list[str]:
    """Find requests with a crashing part that were sent after the fifth crash."""
    crashes = _events(evidence, RunnerEvent.CRASHED)
    if len(crashes) < CRASHES:
        return []
    since = crashes[CRASHES - 1].at + IN_TOUCH_S
    late = [
        event.request
        for event in _events(evidence, RunnerEvent.RECEIVED)
        if event.at > since
        and by_id[event.request].crashes
        and by_id[event.request].at > since
        and _is_in_touch(evidence, by_id[event.request])
    ]
    if len(late) <= MAX_REQUESTS_WITH_PART:
        return []
    return [f"{len(late)} requests with a crashing part were sent: {late[:6]}"]


def _is_in_touch(evidence: Evidence, record: RequestRecord) -> bool:
    since = record.at - IN_TOUCH_S
    return not any(
        evidence.disruptions.overlap(place, since, record.ended_at)
        for place in (record.instance, STORE)
    )


def _refused_healthy_requests(evidence: Evidence) -> list[str]:
    """Find out whether healthy streams began far less often after the fifth crash."""
    crashes = _events(evidence, RunnerEvent.CRASHED)
    if len(crashes) < CRASHES:
        return []
    healthy = [
        record
        for record in evidence.history
        if record.path.startswith("/stream")
        and not record.crashes
        and not evidence.is_excused(record)
    ]
    before = [r.status == 200 for r in healthy if r.ended_at < crashes[0].at]
    since = crashes[CRASHES - 1].at + 2 * IN_TOUCH_S
    after = [r.status == 200 for r in healthy if r.at > since]
    if min(len(before), len(after)) < MIN_SAMPLE:
        return []
    shares = sum(before) / len(before), sum(after) / len(after)
    if shares[1] >= MIN_SHARE * shares[0]:
        return []
    return [f"healthy streams began in {shares[1]:.0%}, before in {shares[0]:.0%}"]
