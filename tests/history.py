"""Checks histories against the promises, by callers' and stand-ins' books.

The checker reads what callers saw and what the stand-ins really did, never the
product's own counters.
"""

import collections
import hashlib
import typing as t

from standins.caller import CallRecord
from standins.engine_model import expected_answer
from standins.world import World

LATE_S = 0.5
RUN_PREFIX_PARTS = 3


def check_in_time(history: t.Iterable[CallRecord]) -> None:
    """Every request ended, within its allowed time."""
    for seen in history:
        assert not seen.code.startswith("cut"), seen
        assert seen.total_s <= seen.allowed_s + LATE_S, seen


def check_whole_and_own(history: t.Iterable[CallRecord], max_tokens: int) -> None:
    """An answer that ended well is the whole answer to its own prompt."""
    for seen in history:
        whole = expected_answer(seen.request, max_tokens)
        if seen.code == "ok":
            assert seen.text == whole, seen
        elif seen.status == 200:
            assert whole.startswith(seen.text), seen


def check_not_run_is_true(world: World, history: t.Iterable[CallRecord]) -> None:
    """What was called "not run" stands in no endpoint's book."""
    ran = {request_of(attempt) for attempt in attempts_ran(world)}
    for seen in history:
        if seen.verdict == "not_run" and seen.request_id:
            assert seen.request_id not in ran, seen


def check_at_most_once(world: World) -> None:
    """No body stands twice in the books of the plain services."""
    runs = collections.Counter(
        entry["digest"] for plain in _plains(world) for entry in plain.ran
    )
    assert all(count == 1 for count in runs.values()), runs


def check_answered_calls_ran(world: World, history: t.Iterable[CallRecord]) -> None:
    """Every call that was answered well stands in a book."""
    ran = {entry["digest"] for plain in _plains(world) for entry in plain.ran}
    for seen in history:
        if seen.code == "ok":
            assert hashlib.sha256(seen.request.encode()).hexdigest() in ran, seen


def check_no_memory_lost(world: World) -> None:
    """No engine holds memory for anyone once all requests have ended."""
    held = {name: model.held_tokens for name, model in world.engine_by_name.items()}
    assert not any(held.values()), held


def attempts_ran(world: World) -> list[str]:
    """Return every attempt that an engine or plain service has run."""
    engines = [*world.engine_by_name.values(), *world.replaced_models]
    attempts = [item[0] for model in engines for item in _ran(model)]
    return attempts + [e["attempt"] for plain in _plains(world) for e in plain.ran]


def request_of(attempt: str) -> str:
    """Return the id of an attempt's request."""
    return "~".join(attempt.split("~")[:RUN_PREFIX_PARTS])


def _ran(model: t.Any) -> list[t.Any]:
    return [] if hasattr(model, "outcome_by_attempt") else list(model.ran)


def _plains(world: World) -> list[t.Any]:
    old = [
        model for model in world.replaced_models if hasattr(model, "outcome_by_attempt")
    ]
    return [*world.plain_by_name.values(), *old]


def check_one_answer_per_key(history: t.Iterable[CallRecord]) -> None:
    """All good answers under one idempotency key are the same."""
    answers: dict[str | None, set[str]] = collections.defaultdict(set)
    for seen in history:
        if seen.code == "ok":
            answers[seen.key].add(seen.text)
    assert all(len(texts) == 1 for texts in answers.values()), answers
