"""Entries of the platform's list of endpoints."""

import json
import typing as t

from ..core import (
    DataCentre,
    EndpointId,
    EndpointState,
    ListedEndpoint,
    ServiceId,
)


def decode_entry(key: str, value: bytes) -> ListedEndpoint | None:
    """Decode one entry; ``None`` for one of another writer or a broken one."""
    try:
        fields = json.loads(value)
        return ListedEndpoint(
            id=EndpointId(key),
            service=ServiceId(_text(fields["service"])),
            address=_address(fields["address"]),
            data_centre=DataCentre(_text(fields["zone"])),
            state=EndpointState(fields["state"]),
            slots=_count(fields["slots"]),
            born_ms=_count(fields.get("born", 0)),
        )
    except (KeyError, TypeError, ValueError):
        return None


def _text(value: t.Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"not a text: {value!r}")
    return value


def _address(value: t.Any) -> str:
    host, _, port = _text(value).rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {value!r}")
    return value


def _count(value: t.Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"not a count: {value!r}")
    return value
