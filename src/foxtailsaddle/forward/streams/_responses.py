"""Checks the heads of engines' responses before a client gets them as a stream."""

import h11

from ...core import AttemptOutcome
from ...errors import ExchangeBrokenError
from ...ports import Headers
from ..attempts import Attempt

STREAM_TYPE = b"text/event-stream"


def check_continuation(attempt: Attempt, response: h11.Response) -> None:
    """Check that a response is a stream, of which a client has the first events.

    :raises ExchangeBrokenError: it is something else, such as an error document.
    """
    if _is_event_stream(list(response.headers)):
        return
    attempt.outcome = AttemptOutcome.FAILED
    raise ExchangeBrokenError(
        f'"{attempt.job.endpoint}" did not continue the stream: its response is no '
        "stream of events"
    )


def without_length(headers: Headers) -> Headers:
    """Leave out the content length, as another engine may send the rest."""
    return [header for header in headers if header[0] != b"content-length"]


def _is_event_stream(headers: Headers) -> bool:
    types = [value for name, value in headers if name == b"content-type"]
    media_types = [value.partition(b";")[0].strip().lower() for value in types]
    return media_types == [STREAM_TYPE]
