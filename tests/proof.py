"""What the proofs share: load, and a mechanism taken out."""

import contextlib
import typing as t

import pytest
import trio

from standins.caller import Caller, CallRecord
from standins.world import World, run_world

Patch = contextlib.AbstractContextManager[t.Any]


def fails_without(scenario, patch: Patch, **options: t.Any) -> None:
    """Run a scenario with its mechanism taken out; it must break a promise."""
    with patch, pytest.raises((AssertionError, ExceptionGroup)) as caught:
        run_world(scenario, **options)
    error: BaseException = caught.value
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    assert isinstance(error, AssertionError), error


async def complete_all(
    world: World, prompts: list[str], tokens: int, allowed_s: float, gap_s: float = 0.0
) -> list[CallRecord]:
    """Send prompts to all instances in turn and return their history."""
    seen: list[CallRecord] = []
    names = world.instances

    async def one(caller: Caller, number: int, prompt: str) -> None:
        await trio.sleep(number * gap_s)
        url = world.url(names[number % len(names)])
        seen.append(await caller.complete(url, prompt, tokens, allowed_s))

    async with trio.open_nursery() as nursery:
        for number, prompt in enumerate(prompts):
            nursery.start_soon(one, world.caller(), number, prompt)
    return seen


def prompts_of(count: int, tokens: int = 100) -> list[str]:
    return [f"prompt {number} " + "x" * (4 * tokens) for number in range(count)]
