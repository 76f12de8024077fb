"""Checks that the product's guarantees to callers held during a soak test."""

import collections
import dataclasses
import typing as t

from standins.runner import RunnerEvent

from .callers import DEADLINE_S, STREAM_EVENTS, RequestRecord
from .disruptions import Cut, Disruptions, Evacuation
from .limits import LimitHistory
from .runner_events import RunnerEventRecord

NOT_RUN_STATUSES = (503, 429, 408, 421)
DEADLINE_SLACK_S = 0.6
EARLY_END_S = 0.15  # before its time is over, a request need not be given up


@dataclasses.dataclass
class Evidence:
    """What was seen from outside the instances.

    :param history: the requests of all callers.
    :param events: of all runners, in the order of time.
    :param held_by_runner: ids of the reservations that each runner still holds.
    :param disruptions: of instances, which may then answer late or not at all.
    :param only_silences: runners were silent at times, and had no other fault.
    :param unframed_runners: names of runners whose streams ended with their connection.
    :param cuts: times for which instances reached no runner.
    :param evacuations: times for which a data centre was evacuated.
    """

    history: list[RequestRecord]
    events: list[RunnerEventRecord]
    held_by_runner: t.Mapping[str, list[str]]
    disruptions: Disruptions
    limits: LimitHistory
    only_silences: bool = False
    unframed_runners: t.Collection[str] = ()
    cuts: t.Sequence[Cut] = ()
    evacuations: t.Sequence[Evacuation] = ()

    def is_excused(self, record: RequestRecord) -> bool:
        """Return whether the instance was disrupted during a request."""
        return self.disruptions.overlap(record.instance, record.at, record.ended_at)

    def longest_time_s(self, record: RequestRecord) -> float:
        """Return the longest time that a request may be allowed."""
        limits = self.limits.longest(record.at, record.ended_at)
        return min(DEADLINE_S, limits.route_timeout_s)

    def shortest_time_s(self, record: RequestRecord) -> float:
        """Return the shortest time that a request may be allowed."""
        limits = self.limits.shortest(record.at, record.ended_at)
        return min(DEADLINE_S, limits.route_timeout_s)


def broken_promises(evidence: Evidence) -> list[str]:
    """Return a sentence for each violation of a guarantee to callers."""
    run_counts = collections.Counter(
        event.request for event in evidence.events if event.event is RunnerEvent.RAN
    )
    violations: list[str] = []
    for record in evidence.history:
        violations += _check_request(record, run_counts, evidence)
        if record.has_ended and not evidence.is_excused(record):
            violations += _check_end(record, evidence)
    violations += [
        f"runner {name} still holds memory: {ids}"
        for name, ids in evidence.held_by_runner.items()
        if ids
    ]
    known = {record.id for record in evidence.history}
    violations += [
        f"{id} ran, and nobody asked for it" for id in run_counts if id not in known
    ]
    return violations


def _label(record: RequestRecord) -> str:
    return f"{record.id} {record.path} at {record.instance}"


def _check_request(
    record: RequestRecord, run_counts: t.Mapping[str, int], evidence: Evidence
) -> list[str]:
    violations = []
    label = _label(record)
    if record.path.startswith("/unsafe") and run_counts[record.id] > 1:
        violations.append(f"{label} ran {run_counts[record.id]} times")
    claims_not_run = record.status in NOT_RUN_STATUSES
    if claims_not_run and record.path.startswith("/unsafe") and run_counts[record.id]:
        violations.append(f"{label} was said not to have run ({record.status})")
    if record.status and record.answer_id != record.id:
        violations.append(f'{label} got the answer of "{record.answer_id}"')
    if record.is_whole and record.status == 200:
        violations += _check_complete_response(record, label, evidence)
    return violations


def _check_complete_response(
    record: RequestRecord, label: str, evidence: Evidence
) -> list[str]:
    if not record.path.startswith("/stream"):
        return [] if record.body.endswith(b"}") else [f"{label} got a part of a body"]
    if record.event_ids == list(range(1, STREAM_EVENTS + 1)):
        return []
    if _crash_looks_like_end(record, evidence):
        return []
    return [f"{label} got the events {record.event_ids}"]


def _crash_looks_like_end(record: RequestRecord, evidence: Evidence) -> bool:
    """Return whether a runner's crash can't be told from the end of its stream.

    It can't if the stream has neither length nor chunks, and the proxy between ends the
    connection in an orderly way behind a whole event.
    """
    if record.event_ids != list(range(1, len(record.event_ids) + 1)):
        return False
    runners = {
        event.runner
        for event in evidence.events
        if event.event is RunnerEvent.RAN and event.request == record.id
    }
    return bool(record.event_ids) and any(
        event.event is RunnerEvent.CRASHED
        and event.runner in runners
        and event.runner.rpartition("-")[0] in evidence.unframed_runners
        and record.at <= event.at <= record.ended_at
        for event in evidence.events
    )


def _check_end(record: RequestRecord, evidence: Evidence) -> list[str]:
    """Check how a request ended whose instance was not disrupted meanwhile."""
    label = f"{_label(record)}, after {record.idle_s:.2f} s idle,"
    violations = []
    if record.took_s > evidence.longest_time_s(record) + DEADLINE_SLACK_S:
        violations.append(f"{label} had no answer after {record.took_s:.2f} s")
    if not record.status:
        violations.append(f"{label} got neither an answer nor a refusal")
    is_stream = record.path.startswith("/stream")
    if record.status and not record.is_whole and not is_stream:
        violations.append(f"{label} got a part of an answer ({record.status})")
    is_served = record.is_whole and record.status in (200, *NOT_RUN_STATUSES)
    is_early = record.took_s < evidence.shortest_time_s(record) - EARLY_END_S
    if evidence.only_silences and is_early and not is_served:
        violations.append(
            f"{label} was given up after {record.took_s:.2f} s ({record.status}) "
            "though runners were only silent"
        )
    return violations
