"""Decodes entries of the platform's endpoint list."""

import typing as t

from .._input_readers import (
    MAX_TOKENS,
    read_header_token,
    read_int,
    read_json,
    read_number,
    read_text,
    reading,
)
from ..core import (
    DataCentre,
    EndpointId,
    EndpointState,
    ListedEndpoint,
    ServiceId,
    parse_address,
)


def decode_endpoint_entry(key: str, value: bytes) -> ListedEndpoint:
    """Decode one entry of the endpoint list.

    :raises UnreadableInputError: the entry names no endpoint to use, for instance
        because another program wrote a different format into the table.
    """
    with reading("entry"):
        fields = read_json(value)
        return ListedEndpoint(
            id=EndpointId(read_header_token(key)),
            service=ServiceId(read_text(fields["service"])),
            address=_host_and_port(fields["address"]),
            data_centre=DataCentre(read_text(fields["zone"])),
            state=EndpointState(fields["state"]),
            slots=read_int(fields["slots"], high=MAX_TOKENS),
            born_ms=read_int(fields.get("born", 0)),
            cold_s=read_number(fields.get("cold_remaining_ms", 0)) / 1000,
        )


def _host_and_port(value: t.Any) -> str:
    parse_address(read_text(value))
    return value
