"""Splits the bytes of an event stream into complete events."""

import re

BLANK_LINE = re.compile(rb"\r?\n\r?\n")
ID_LINE = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


class EventBuffer:
    """Buffers a stream and returns only complete events.

    The caller then has no part of an event when an endpoint fails, and the stream
    can be resumed at another endpoint after any event.

    :param last_id: id of the last event that the caller already has.
    :ivar event_count: number of complete events so far.
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self.event_count = 0
        self._partial_event = b""

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return all events that are now complete."""
        self._partial_event += data
        ends = [match.end() for match in BLANK_LINE.finditer(self._partial_event)]
        if not ends:
            return b""
        complete, self._partial_event = (
            self._partial_event[: ends[-1]],
            self._partial_event[ends[-1] :],
        )
        self.event_count += len(ends)
        job_ids = ID_LINE.findall(complete)
        if job_ids:
            self.last_id = job_ids[-1].decode("latin-1")
        return complete

    @property
    def partial_event(self) -> bytes:
        """The bytes after the last complete event."""
        return self._partial_event

    def discard_partial_event(self) -> None:
        """Discard the bytes of an incomplete event after a stream broke."""
        self._partial_event = b""
