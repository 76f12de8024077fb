"""Background tasks, whose unexpected errors end nothing else."""

import logging
import typing as t

import trio

logger = logging.getLogger("foxtailsaddle.tasks")

RESTART_DELAY_S = 1.0


async def log_unexpected(
    task: t.Callable[..., t.Awaitable[None]], *arguments: t.Any
) -> None:
    """Run a task to its end; an unexpected error is logged and ends only this task."""
    try:
        await task(*arguments)
    except Exception:
        logger.exception("tasks: unexpected error")


async def keep_running(task: t.Callable[[], t.Awaitable[None]]) -> None:
    """Run a background task forever; log an unexpected error and start it again.

    An error that occurs on many instances at once must not stop all of them.
    """
    while True:
        try:
            await task()
        except Exception:
            logger.exception("tasks: control task failed")
        await trio.sleep(RESTART_DELAY_S)
