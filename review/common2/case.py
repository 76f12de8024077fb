"""Runs a case: starts its deployment, writes its record, and exits by its result."""

import asyncio
import os
import pathlib
import signal
import sys
import time
import traceback
import typing as t

from .fleet import CaseCouldNotRunError, Fleet

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LONGEST_S = 115.0


class Record:
    """The lines of ``record.txt``."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._began_at = time.monotonic()
        self._lines: list[str] = []

    def write(self, line: str, at: float | None = None) -> None:
        """Add a line; its time counts from the start of the script."""
        at = time.monotonic() if at is None else at
        self._lines.append(f"{at - self._began_at:8.3f} s  {line}")

    def write_requests(self, fleet: Fleet) -> None:
        """Add what was sent, answered and run, in the order of time."""
        lines = [
            (
                sent.at,
                f"request {sent.id} ({sent.kind}) sent to {sent.instance}, after "
                f"{sent.ended_at - sent.at:.3f} s answered {sent.reply.status}"
                f"{'' if sent.reply.is_whole else ', not whole'}",
            )
            for sent in fleet.sent
        ]
        lines += [
            (event.at, f"runner {event.runner}: {event.event} {event.request}")
            for event in fleet.events
        ]
        for at, line in sorted(lines):
            self.write(line, at)

    def save(self) -> None:
        """Write the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


Play = t.Callable[[Fleet, Record, bool], t.Awaitable[bool]]


def run_case(file: str, play: Play) -> t.NoReturn:
    """Play a case and exit.

    :param file: of the case, beside which the record is written.
    :param play: returns whether the rule held; its last argument says whether to play
        the disruption.
    """
    record = Record(pathlib.Path(file).resolve().with_name("record.txt"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"disruption: {'played' if has_trouble else 'left out'}")
    try:
        has_held = asyncio.run(_play(play, record, has_trouble))
        status = HELD if has_held else BROKEN
        record.write("the rule held" if has_held else "the rule was broken")
    except CaseCouldNotRunError as error:
        record.write(f"the case could not run: {error}")
        status = COULD_NOT_RUN
    except Exception:
        record.write(f"the case could not run: {traceback.format_exc()}")
        status = COULD_NOT_RUN
    record.save()
    sys.exit(status)


async def _play(play: Play, record: Record, has_trouble: bool) -> bool:
    fleet = Fleet()
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(LONGEST_S):
            return await play(fleet, record, has_trouble)
    finally:
        record.write_requests(fleet)
        await fleet.close()
