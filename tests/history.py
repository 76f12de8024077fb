"""Checks of a run's history against the guarantees of the product.

The checks compare what callers saw with what the stand-ins executed. They never
use the product's own counters.
"""

import collections
import hashlib
import typing as t

from standins.caller import CallRecord
from standins.engine_model import expected_answer
from standins.world import World

DEADLINE_TOLERANCE_S = 0.5
REQUEST_ID_PARTS = 3


def check_in_time(history: t.Iterable[CallRecord]) -> None:
    """Check that every request ended within its allowed time."""
    for seen in history:
        assert not seen.code.startswith("cut"), seen
        assert seen.total_s <= seen.allowed_s + DEADLINE_TOLERANCE_S, seen


def check_answers_match_prompts(
    history: t.Iterable[CallRecord], max_tokens: int
) -> None:
    """Check that each complete answer is the whole answer to its own prompt.

    The text of an interrupted answer must be a prefix of the expected one.
    """
    for seen in history:
        expected = expected_answer(seen.request, max_tokens)
        if seen.code == "ok":
            assert seen.text == expected, seen
        elif seen.status == 200:
            assert expected.startswith(seen.text), seen


def check_not_run_verdicts(world: World, history: t.Iterable[CallRecord]) -> None:
    """Check that no endpoint executed a request with the verdict "not run"."""
    executed = {request_id_of(attempt) for attempt in executed_attempts(world)}
    for seen in history:
        if seen.verdict == "not_run" and seen.request_id:
            assert seen.request_id not in executed, seen


def check_at_most_once(world: World) -> None:
    """Check that the plain services executed no body twice."""
    count_by_digest = collections.Counter(
        entry["digest"] for plain in _plain_models(world) for entry in plain.ran
    )
    assert all(count == 1 for count in count_by_digest.values()), count_by_digest


def check_answered_calls_ran(world: World, history: t.Iterable[CallRecord]) -> None:
    """Check that every successful call was executed by a plain service."""
    executed = {
        entry["digest"] for plain in _plain_models(world) for entry in plain.ran
    }
    for seen in history:
        if seen.code == "ok":
            assert hashlib.sha256(seen.request.encode()).hexdigest() in executed, seen


def check_no_memory_leaked(world: World) -> None:
    """Check that no engine has reserved memory once all requests have ended."""
    held_by_engine = {
        name: model.held_tokens for name, model in world.engine_by_name.items()
    }
    assert not any(held_by_engine.values()), held_by_engine


def executed_attempts(world: World) -> list[str]:
    """Return the ids of all attempts that engines and plain services executed."""
    engines = [*world.engine_by_name.values(), *world.replaced_models]
    attempts = [item[0] for model in engines for item in _executed_requests(model)]
    return attempts + [
        e["attempt"] for plain in _plain_models(world) for e in plain.ran
    ]


def request_id_of(attempt: str) -> str:
    """Return the id of the request that an attempt belongs to."""
    return "~".join(attempt.split("~")[:REQUEST_ID_PARTS])


def _executed_requests(model: t.Any) -> list[t.Any]:
    return [] if hasattr(model, "outcome_by_attempt") else list(model.ran)


def _plain_models(world: World) -> list[t.Any]:
    old = [
        model for model in world.replaced_models if hasattr(model, "outcome_by_attempt")
    ]
    return [*world.plain_by_name.values(), *old]


def check_one_answer_per_key(history: t.Iterable[CallRecord]) -> None:
    """Check that all successful answers for one idempotency key are equal."""
    answers_by_key: dict[str | None, set[str]] = collections.defaultdict(set)
    for seen in history:
        if seen.code == "ok":
            answers_by_key[seen.key].add(seen.text)
    assert all(len(texts) == 1 for texts in answers_by_key.values()), answers_by_key
