"""Checks of a client's request against the limits, before it is admitted."""

import h11

from ...core import TrafficLimits
from ...errors import (
    BodyTooLargeError,
    FoxtailsaddleError,
    HeadersTooLargeError,
    RequestInvalidError,
)

HEADERS_TOO_LARGE_STATUS = 431
REQUEST_LINE_BYTES = len("  HTTP/1.1\r\n")
HEADER_LINE_BYTES = len(": \r\n")
FRAMING_PER_BODY_BYTE = 8  # a chunk of one byte has five, and may have leading zeros


def check_head_size(request: h11.Request, limits: TrafficLimits) -> None:
    """Check the size of a request's head.

    :raises HeadersTooLargeError: it is larger than the limits allow.
    """
    size = len(request.method) + len(request.target) + REQUEST_LINE_BYTES
    size += sum(
        len(name) + len(value) + HEADER_LINE_BYTES for name, value in request.headers
    )
    if size > limits.header_bytes:
        raise HeadersTooLargeError(
            f"the request head is larger than {limits.header_bytes} bytes"
        )


def check_framing(request: h11.Request, limits: TrafficLimits) -> None:
    """Check how a request states the end of its body.

    :raises RequestInvalidError: it does so in two ways.
    :raises BodyTooLargeError: the stated length is more than the limits allow.
    """
    names = {name for name, _ in request.headers}
    if b"content-length" in names and b"transfer-encoding" in names:
        raise RequestInvalidError(
            "the request has both Content-Length and Transfer-Encoding"
        )
    check_body_size(announced_bytes(request), limits)


def announced_bytes(request: h11.Request) -> int:
    """Return the stated length of a request's body, 0 if there is none."""
    lengths = (value for name, value in request.headers if name == b"content-length")
    return int(next(lengths, b"0"))


def check_framing_size(
    framing_bytes: int, body_bytes: int, limits: TrafficLimits
) -> None:
    """Check the size of chunk headers and trailers beside that of the body so far.

    :raises RequestInvalidError: it is larger than chunks of one byte need.
    """
    if framing_bytes > body_bytes * FRAMING_PER_BODY_BYTE + limits.header_bytes:
        raise RequestInvalidError("the chunk headers are larger than the body needs")


def check_body_size(size: int, limits: TrafficLimits) -> None:
    """Check the size of a request's body, in bytes.

    :raises BodyTooLargeError: it is larger than the limits allow.
    """
    if size > limits.body_bytes:
        raise BodyTooLargeError(f"the body is larger than {limits.body_bytes} bytes")


def to_request_error(error: h11.RemoteProtocolError) -> FoxtailsaddleError:
    """Return the refusal of a request that h11 can't read."""
    if error.error_status_hint == HEADERS_TOO_LARGE_STATUS:
        return HeadersTooLargeError("the request head is too large")
    return RequestInvalidError(f"the request can't be read: {error}")
