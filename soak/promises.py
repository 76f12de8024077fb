"""Checks of the promises on what callers and runners observed during a soak."""

import collections
import typing as t

from .callers import DEADLINE_S, STREAM_EVENTS, RequestRecord

NOT_RUN_STATUSES = (503, 429, 408, 421)
DEADLINE_SLACK_S = 0.6


def broken_promises(
    history: list[RequestRecord],
    runner_histories: t.Mapping[str, t.Mapping[str, list[str]]],
    was_disrupted: t.Callable[[RequestRecord], bool],
) -> list[str]:
    """Return a sentence for each promise that was broken.

    :param history: the requests of all callers.
    :param runner_histories: ids of the requests that each runner received, ran or
        still holds memory for, by name of the runner.
    :param was_disrupted: whether the instance of a request was paused, killed or
        terminated during the request, which may then be answered late.
    """
    ran: collections.Counter[str] = collections.Counter()
    for runner_history in runner_histories.values():
        ran.update(runner_history["runs"])
    violations: list[str] = []
    for record in history:
        violations += _check_request(record, ran, was_disrupted(record))
    violations += [
        f"runner {name} still holds memory: {runner_history['tickets']}"
        for name, runner_history in runner_histories.items()
        if runner_history["tickets"]
    ]
    known = {record.id for record in history}
    violations += [
        f"{id} ran, and nobody asked for it" for id in ran if id not in known
    ]
    return violations


def _check_request(
    record: RequestRecord, ran: t.Mapping[str, int], was_disrupted: bool
) -> list[str]:
    violations = []
    label = f"{record.id} {record.path} at {record.instance}"
    if record.path.startswith("/unsafe") and ran[record.id] > 1:
        violations.append(f"{label} ran {ran[record.id]} times")
    claims_not_run = record.status in NOT_RUN_STATUSES
    if claims_not_run and record.path.startswith("/unsafe") and ran[record.id]:
        violations.append(f"{label} was said not to have run ({record.status})")
    if record.status and record.answer_id != record.id:
        violations.append(f'{label} got the answer of "{record.answer_id}"')
    if record.is_whole and record.status == 200:
        violations += _check_complete_response(record, label)
    if not was_disrupted and record.took_s > DEADLINE_S + DEADLINE_SLACK_S:
        violations.append(f"{label} had no answer after {record.took_s:.2f} s")
    return violations


def _check_complete_response(record: RequestRecord, label: str) -> list[str]:
    if not record.path.startswith("/stream"):
        return [] if record.body.endswith(b"}") else [f"{label} got a part of a body"]
    if record.event_ids != list(range(1, STREAM_EVENTS + 1)):
        return [f"{label} got the events {record.event_ids}"]
    return []
