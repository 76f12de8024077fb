"""Splits the bytes of an event stream into complete events."""

import re

from ..errors import ExchangeBrokenError, ResponseTooLargeError

MAX_EVENT_BYTES = 1_048_576

BLANK_LINE = re.compile(rb"\r?\n\r?\n")
MAX_BLANK_LINE_BYTES = len(b"\r\n\r\n")
ID_LINE = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")
NUMBER = re.compile(rb"[0-9]{1,18}")
HEADER_VALUE = re.compile(rb"(?:[\x21-\x7e](?:[\x20-\x7e]*[\x21-\x7e])?)?")


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
        self._is_continued = False
        self._partial_event = bytearray()

    @property
    def can_be_continued(self) -> bool:
        """Whether another endpoint can be told where the stream broke off."""
        return not self.event_count or self.last_id is not None

    def expect_continuation(self) -> None:
        """Take only events from now on that follow the last one."""
        self._is_continued = True

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return all events that are now complete.

        :raises ResponseTooLargeError: the incomplete event is longer than
            ``MAX_EVENT_BYTES``.
        :raises ExchangeBrokenError: an event has an id that no header can hold, so
            the stream could not be resumed after it, or an event doesn't follow the
            last one of a stream that is continued.
        """
        unsearched_from = max(0, len(self._partial_event) - MAX_BLANK_LINE_BYTES + 1)
        self._partial_event += data
        blank_lines = BLANK_LINE.finditer(self._partial_event, unsearched_from)
        ends = [match.end() for match in blank_lines]
        if not ends:
            self._check_size()
            return b""
        complete = bytes(self._partial_event[: ends[-1]])
        del self._partial_event[: ends[-1]]
        event_ids = ID_LINE.findall(complete)
        if not all(HEADER_VALUE.fullmatch(id) for id in event_ids):
            raise ExchangeBrokenError("an event has a malformed id")
        if self._is_continued:
            _check_order(complete, self.last_id or "")
        self.event_count += len(ends)
        if event_ids:
            self.last_id = event_ids[-1].decode("ascii")
        return complete

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes came after the last complete event."""
        return bool(self._partial_event)

    @property
    def ends_after_event(self) -> bool:
        """Whether a stream that ends here is complete."""
        return self.event_count > 0 and not self.has_partial_event

    def discard_partial_event(self) -> None:
        """Discard the bytes of an incomplete event after a stream broke."""
        self._partial_event = bytearray()

    def _check_size(self) -> None:
        if len(self._partial_event) > MAX_EVENT_BYTES:
            raise ResponseTooLargeError(
                f"an event is longer than {MAX_EVENT_BYTES} bytes"
            )


def _check_order(events: bytes, last_id: str) -> None:
    """Check that each event has an id, and that ids that are numbers increase.

    :raises ExchangeBrokenError: an event is no continuation after the last id.
    """
    previous = last_id.encode()
    for event in BLANK_LINE.split(events):
        if _is_comment(event):
            continue
        ids = ID_LINE.findall(event)
        if not ids or not _follows(ids[-1], previous):
            raise ExchangeBrokenError(
                f"what came after event {previous.decode()!r} doesn't continue the "
                "stream"
            )
        previous = ids[-1]


def _is_comment(event: bytes) -> bool:
    return all(line.startswith(b":") or not line for line in event.splitlines())


def _follows(id: bytes, previous: bytes) -> bool:
    if not NUMBER.fullmatch(previous):
        return id != previous
    return bool(NUMBER.fullmatch(id)) and int(id) > int(previous)
