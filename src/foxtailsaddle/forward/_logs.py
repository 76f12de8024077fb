"""Structured logging to standard output that never blocks the process."""

import collections
import json
import logging
import os
import select
import sys
import typing as t

import trio
from pythonjsonlogger.json import JsonFormatter

FLUSH_INTERVAL_S = 0.1
MAX_BUFFERED_LINES = 5000
FIELD_CHARS_TRIED = (2000, 200, 20)
TRACEBACK_FIELD = "exc_info"
PIPE_BYTES = 4096  # a pipe that polls as writable takes as much without blocking


class BoundedJsonFormatter(JsonFormatter):
    """Formats records as JSON, in lines that a pipe takes without blocking.

    What clients send may be in a field, and is shortened. Of a traceback the end stays,
    which names the error.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        line = super().format(record)
        for max_chars in FIELD_CHARS_TRIED:
            if len(line) < PIPE_BYTES:
                return line
            line = json.dumps(_shortened(json.loads(line), max_chars))
        return line


def _shortened(fields: dict[str, t.Any], max_chars: int) -> dict[str, t.Any]:
    return {
        name: _shortened_value(name, value, max_chars) for name, value in fields.items()
    }


def _shortened_value(name: str, value: t.Any, max_chars: int) -> t.Any:
    if name == TRACEBACK_FIELD:
        return value[-max_chars:]
    if isinstance(value, str | list):
        return value[:max_chars]
    return value


class BufferedLogHandler(logging.Handler):
    """Buffers log lines in memory; when full, drops and counts new lines."""

    def __init__(self, instance: str) -> None:
        super().__init__()
        self.setFormatter(
            BoundedJsonFormatter(
                "%(asctime)s %(levelname)s %(message)s",
                static_fields={"instance": instance},
            )
        )
        self._lines: collections.deque[bytes] = collections.deque()
        self._dropped = 0
        self._fd = sys.stdout.fileno()
        self._poll = select.poll()
        self._poll.register(self._fd, select.POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer one line, or count it as dropped."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self._dropped += 1
            return
        self._lines.append(self.format(record).encode() + b"\n")

    async def run(self) -> None:
        """Write buffered lines until cancelled."""
        while True:
            await trio.sleep(FLUSH_INTERVAL_S)
            self.flush_available()

    def flush_available(self) -> None:
        """Write as many buffered lines as the output takes without blocking."""
        if self._dropped and len(self._lines) < MAX_BUFFERED_LINES // 2:
            dropped, self._dropped = self._dropped, 0
            line = b'{"message": "log: lines dropped", "count": %d}\n' % dropped
            self._lines.append(line)
        while self._lines and self._poll.poll(0):
            batch = [self._lines.popleft()]
            size = len(batch[0])
            while self._lines and size + len(self._lines[0]) <= PIPE_BYTES:
                batch.append(self._lines.popleft())
                size += len(batch[-1])
            os.write(self._fd, b"".join(batch))


def configure_logging(instance: str, level: str) -> BufferedLogHandler:
    """Configure logging of this process to use one buffered handler."""
    handler = BufferedLogHandler(instance)
    logging.basicConfig(level=level, handlers=[handler], force=True)
    return handler


class NullLogWriter:
    """Log writer that does nothing, for processes that configure logging themselves."""

    async def run(self) -> None:
        """Do nothing."""

    def flush_available(self) -> None:
        """Do nothing."""
