"""Network addresses of the form ``host:port``, which other programs write."""

import functools
import ipaddress
import typing as t

from ..errors import UnreadableInputError

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
CACHE_SIZE = 4096  # far more addresses than a fleet has endpoints


class Address(t.NamedTuple):
    """An IPv4 address in dotted decimals and a port."""

    host: str
    port: int


@functools.lru_cache(CACHE_SIZE)
def parse_address(text: str) -> Address:
    """Return the parts of ``host:port``; names are not looked up.

    :raises UnreadableInputError: nothing can be sent to that address.
    """
    host, _, port = text.rpartition(":")
    return Address(parse_host(host), _parse_port(port))


def parse_host(text: str) -> str:
    """Return an IPv4 address that belongs to one host, in dotted decimals.

    :raises UnreadableInputError: it is anything else.
    """
    try:
        host = ipaddress.IPv4Address(text)
    except ValueError as error:
        raise UnreadableInputError(f"not an IPv4 address: {text!r:.200}") from error
    if host.is_unspecified or host.is_multicast:
        raise UnreadableInputError(f"not the address of one host: {text!r}")
    return text


def _parse_port(text: str) -> int:
    is_number = text.isascii() and text.isdecimal() and len(text) <= MAX_PORT_DIGITS
    if not is_number or not 0 < int(text) <= MAX_PORT:
        raise UnreadableInputError(f"not a port: {text!r:.200}")
    return int(text)
