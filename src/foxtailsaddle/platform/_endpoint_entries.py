"""Decodes entries of the platform's endpoint list."""

import json
import typing as t

from ..core import (
    DataCentre,
    EndpointId,
    EndpointState,
    ListedEndpoint,
    ServiceId,
    parse_address,
)


def decode_endpoint_entry(key: str, value: bytes) -> ListedEndpoint | None:
    """Decode one entry of the endpoint list.

    Return ``None`` if the entry is malformed, for instance because another
    program wrote a different format into the table.
    """
    try:
        fields = json.loads(value)
        return ListedEndpoint(
            id=EndpointId(key),
            service=ServiceId(_non_empty_string(fields["service"])),
            address=_host_and_port(fields["address"]),
            data_centre=DataCentre(_non_empty_string(fields["zone"])),
            state=EndpointState(fields["state"]),
            slots=_non_negative_int(fields["slots"]),
            born_ms=_non_negative_int(fields.get("born", 0)),
            cold_s=_non_negative_number(fields.get("cold_remaining_ms", 0)) / 1000,
        )
    except (KeyError, TypeError, ValueError):
        return None


def _non_empty_string(value: t.Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"not a non-empty string: {value!r}")
    return value


def _host_and_port(value: t.Any) -> str:
    parse_address(_non_empty_string(value))
    return value


def _non_negative_number(value: t.Any) -> float:
    # A NaN is not comparable, so the condition says what is allowed.
    if isinstance(value, bool) or not isinstance(value, int | float) or not value >= 0:
        raise ValueError(f"not a non-negative number: {value!r}")
    return value


def _non_negative_int(value: t.Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"not a non-negative integer: {value!r}")
    return value
