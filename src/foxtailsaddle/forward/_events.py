"""Whole events of a stream, cut out of the bytes as they arrive."""

import re

BLANK_LINE = re.compile(rb"\r?\n\r?\n")
ID_LINE = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


class EventBuffer:
    """Hands out whole events, so that a stream may go on elsewhere after any.

    :param after: id of the last event that the caller already has.
    """

    def __init__(self, after: str | None = None) -> None:
        self.last_id = after
        self.events = 0
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events in what has arrived so far."""
        self._rest += data
        ends = [match.end() for match in BLANK_LINE.finditer(self._rest)]
        if not ends:
            return b""
        whole, self._rest = self._rest[: ends[-1]], self._rest[ends[-1] :]
        self.events += len(ends)
        ids = ID_LINE.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return whole

    @property
    def rest(self) -> bytes:
        """Bytes behind the last whole event."""
        return self._rest

    def restart(self) -> None:
        """Drop what was left of an event when a stream broke."""
        self._rest = b""
