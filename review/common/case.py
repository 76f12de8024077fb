"""Runs a case: sets up its folder, ends its processes, returns its exit status."""

import asyncio
import os
import pathlib
import sys
import tempfile
import traceback
import typing as t

from .record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
LONGEST_S = 115.0


class NotRunError(Exception):
    """The case could not be set up."""


def has_trouble() -> bool:
    """Return whether the case is to bring its disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    folder: pathlib.Path,
    body: t.Callable[[Record, pathlib.Path], t.Awaitable[bool]],
) -> t.NoReturn:
    """Run a case and exit.

    :param body: called with the record and a temporary folder; returns whether the
        rule held.
    """
    record = Record(folder / "record.txt")

    async def run() -> bool:
        with tempfile.TemporaryDirectory(prefix="review-") as scratch:
            async with asyncio.timeout(LONGEST_S):
                return await body(record, pathlib.Path(scratch))

    try:
        held = asyncio.run(run())
    except Exception as error:
        record.write("not run", why=repr(error))
        traceback.print_exc()
        sys.exit(NOT_RUN)
    record.write("end", rule="held" if held else "broken")
    print("the rule", "held" if held else "was broken")
    sys.exit(HELD if held else BROKEN)
