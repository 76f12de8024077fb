"""Status and body of the responses to requests that fail."""

import json

from ...core import Verdict
from ...errors import FoxtailsaddleError


def error_status(error: FoxtailsaddleError) -> int:
    """Return the status of an error response.

    503 promises that the request did not run and 504 that it may have run, so a
    status that contradicts the verdict is replaced.
    """
    if error.status == 503 and error.verdict is not Verdict.NOT_RUN:
        return 502
    if error.status == 504 and error.verdict is Verdict.NOT_RUN:
        return 503
    return error.status


def error_body(error: FoxtailsaddleError) -> bytes:
    """Return the body of an error response."""
    fields = {
        "code": error.code,
        "error": error.message,
        "verdict": error.verdict.value,
    }
    return json.dumps(fields).encode()
