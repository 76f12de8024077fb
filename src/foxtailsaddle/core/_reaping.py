"""Finds attempts at endpoints that no instance waits for any more."""

import typing as t

from ._ids import AttemptId


def orphans(attempts: t.Iterable[str], now_ms: int, grace_ms: int) -> list[str]:
    """Return the ids of attempts whose deadline is more than ``grace_ms`` ago.

    The attempt id contains the deadline, so any instance may cancel such attempts
    without agreement on which instance died. Other ids are ignored.

    :param attempts: ids of all requests at an endpoint.
    """
    return [
        attempt_id
        for attempt_id in attempts
        if _is_overdue(attempt_id, now_ms - grace_ms)
    ]


def _is_overdue(attempt_id: str, before_ms: int) -> bool:
    attempt = AttemptId.parse(attempt_id)
    return attempt is not None and attempt.deadline_ms < before_ms
