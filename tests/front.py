"""Runs a test inside a small world on loopback."""

import functools
import typing as t

import trio

from standins.front_world import front_world


def in_world(**options: t.Any) -> t.Callable[[t.Callable], t.Callable]:
    """Run an async test method with a world as its argument."""

    def decorate(test: t.Callable) -> t.Callable:
        @functools.wraps(test)
        def run(self: t.Any) -> None:
            trio.run(_run, test, self, options, strict_exception_groups=True)

        # pytest would take the wrapped function's arguments for fixtures.
        del run.__wrapped__
        return run

    return decorate


async def _run(test: t.Callable, self: t.Any, options: dict[str, t.Any]) -> None:
    async with front_world(**options) as world:
        await test(self, world)


async def eventually(condition: t.Callable[[], t.Any], within_s: float = 3.0) -> None:
    """Wait until a condition holds."""
    with trio.fail_after(within_s):
        while not condition():
            await trio.sleep(0.01)
