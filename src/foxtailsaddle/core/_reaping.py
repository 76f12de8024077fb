"""Which attempts an endpoint holds for nobody."""

import typing as t

from ._ids import AttemptId


def orphans(held: t.Iterable[str], now_ms: int, grace_ms: int) -> list[str]:
    """Return the held attempts whose deadline has passed by ``grace_ms``.

    The deadline stands in the attempt id, so any instance may cancel them
    without agreement on who died. Foreign names are left alone.
    """
    return [name for name in held if _is_overdue(name, now_ms - grace_ms)]


def _is_overdue(name: str, before_ms: int) -> bool:
    attempt = AttemptId.parse(name)
    return attempt is not None and attempt.deadline_ms < before_ms
