"""Tasks that go on after a fault of ours."""

import logging
import typing as t

import trio

logger = logging.getLogger("foxtailsaddle.tasks")

RESTART_PAUSE_S = 1.0


async def keep_running(task: t.Callable[[], t.Awaitable[None]]) -> None:
    """Run a control task for ever, and again after a fault of ours.

    A fault that many instances meet at once must not end them all.
    """
    while True:
        try:
            await task()
        except Exception:
            logger.exception("tasks: control task failed")
        await trio.sleep(RESTART_PAUSE_S)
