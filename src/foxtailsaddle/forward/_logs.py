"""Structured log lines on standard output that never block."""

import collections
import logging
import os
import select
import sys

import trio
from pythonjsonlogger.json import JsonFormatter

FLUSH_EVERY_S = 0.1
MAX_LINES = 5000
PIPE_BYTES = 4096  # what a pipe that polls as writable takes without blocking


class BufferedLog(logging.Handler):
    """Keeps lines in memory; drops new ones, and counts them, when it is full."""

    def __init__(self, instance: str) -> None:
        super().__init__()
        self.setFormatter(
            JsonFormatter(
                "%(asctime)s %(levelname)s %(message)s",
                static_fields={"instance": instance},
            )
        )
        self._lines: collections.deque[bytes] = collections.deque()
        self._dropped = 0
        self._file = sys.stdout.fileno()
        self._poll = select.poll()
        self._poll.register(self._file, select.POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        """Take a line."""
        if len(self._lines) >= MAX_LINES:
            self._dropped += 1
            return
        self._lines.append(self.format(record).encode() + b"\n")

    async def run(self) -> None:
        """Write what was taken until cancelled."""
        while True:
            await trio.sleep(FLUSH_EVERY_S)
            self.flush_some()

    def flush_some(self) -> None:
        """Write as many lines as the reader takes now."""
        if self._dropped and len(self._lines) < MAX_LINES // 2:
            dropped, self._dropped = self._dropped, 0
            line = b'{"message": "log: lines dropped", "count": %d}\n' % dropped
            self._lines.append(line)
        while self._lines and self._poll.poll(0):
            batch = [self._lines.popleft()]
            size = len(batch[0])
            while self._lines and size + len(self._lines[0]) <= PIPE_BYTES:
                batch.append(self._lines.popleft())
                size += len(batch[-1])
            os.write(self._file, b"".join(batch))


def set_up(instance: str, level: str) -> BufferedLog:
    """Send all log lines of this process through one buffer."""
    handler = BufferedLog(instance)
    logging.basicConfig(level=level, handlers=[handler], force=True)
    return handler


class NoLog:
    """Leaves log lines to whoever has set up logging."""

    async def run(self) -> None:
        """Do nothing."""

    def flush_some(self) -> None:
        """Do nothing."""
