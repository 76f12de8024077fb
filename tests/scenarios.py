"""Helpers for scenarios: send prompts, and expect a failure under a patch."""

import contextlib
import typing as t

import pytest
import trio

from standins.caller import Caller, CallRecord
from standins.world import World, run_world

Patch = contextlib.AbstractContextManager[t.Any]


def fails_without(scenario, patch: Patch, **options: t.Any) -> None:
    """Check that a scenario fails an assertion while a patch disables its mechanism."""
    with patch, pytest.raises((AssertionError, ExceptionGroup)) as caught:
        run_world(scenario, **options)
    error: BaseException = caught.value
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    assert isinstance(error, AssertionError), error


async def complete_all(
    world: World, prompts: list[str], tokens: int, allowed_s: float, gap_s: float = 0.0
) -> list[CallRecord]:
    """Send prompts to the instances in turn and return what the callers saw.

    :param gap_s: time between the starts of two requests.
    """
    seen: list[CallRecord] = []
    instances = world.instances

    async def send_one(caller: Caller, number: int, prompt: str) -> None:
        await trio.sleep(number * gap_s)
        url = world.url(instances[number % len(instances)])
        seen.append(await caller.complete(url, prompt, tokens, allowed_s))

    async with trio.open_nursery() as nursery:
        for number, prompt in enumerate(prompts):
            nursery.start_soon(send_one, world.caller(), number, prompt)
    return seen


def prompts_of(count: int, tokens: int = 100) -> list[str]:
    """Return different prompts of about the same length."""
    return [f"prompt {number} " + "x" * (4 * tokens) for number in range(count)]
