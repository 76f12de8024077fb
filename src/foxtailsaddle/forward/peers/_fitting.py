"""Sends updates in datagrams that are short enough to be sent."""

import logging
import typing as t

from ._datagrams import encode
from ._messages import DatagramHeader, Update

logger = logging.getLogger("foxtailsaddle.peers")

MAX_PAYLOAD_BYTES = 65_507  # of UDP over IPv4


class DatagramTooLongError(Exception):
    """Updates are too long for one datagram."""


def encode_fitting(header: DatagramHeader, updates: t.Sequence[Update]) -> bytes:
    """Return the bytes of a datagram.

    :raises DatagramTooLongError: there are too many.
    """
    data = encode(header, updates)
    if len(data) > MAX_PAYLOAD_BYTES:
        raise DatagramTooLongError(f"{len(data)} bytes")
    return data


def send_fitting(
    updates: t.Sequence[Update], send: t.Callable[[t.Sequence[Update]], None]
) -> int:
    """Send updates together, or one by one where that fails.

    :param send: sends some of them in one datagram.
    :returns: how many can't be sent at all.
    """
    try:
        send(updates)
    except Exception as error:
        if len(updates) != 1:
            return sum(send_fitting([update], send) for update in updates)
        kind = type(updates[0]).__name__
        is_expected = isinstance(error, DatagramTooLongError)
        logger.warning(
            "peers: update not sent",
            extra={"update": kind, "why": repr(error)},
            exc_info=not is_expected,
        )
        return 1
    return 0
