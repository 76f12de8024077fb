"""What the runners of a soak test received and did, as their processes print it."""

import dataclasses
import json
import pathlib

from standins.runner import RunnerEvent


@dataclasses.dataclass(frozen=True)
class RunnerEventRecord:
    """One event of a runner.

    :param runner: id of the process.
    :param request: id of the request.
    :param at: monotonic time, in seconds.
    :param pause_s: seconds for which the runner asks to be left alone.
    :param per_s: requests per second that it takes; 0 without a limit.
    """

    event: RunnerEvent
    runner: str
    request: str
    at: float
    pause_s: float = 0.0
    per_s: float = 0.0


def read_events(log: pathlib.Path) -> list[RunnerEventRecord]:
    """Return the events in the log of a runner; other lines are skipped."""
    lines = log.read_text(errors="replace").splitlines()
    return [_read_event(line) for line in lines if line.startswith('{"event"')]


def _read_event(line: str) -> RunnerEventRecord:
    fields = json.loads(line)
    return RunnerEventRecord(**fields | {"event": RunnerEvent(fields["event"])})
