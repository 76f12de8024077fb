"""Typed peer messages to and from Cap'n Proto."""

import dataclasses
import pathlib
import typing as t

import capnp
import pydantic
from pydantic import alias_generators

from .. import ports
from ..core import InstanceId

MAX_MESSAGE_BYTES = 8 * 1024 * 1024
LENGTH_BYTES = 4

_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("peers.capnp")))
_MESSAGE_TYPES: tuple[type, ...] = t.get_args(ports.PeerMessage)


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """One message on a link.

    :param id: number of a message that wants a reply, else 0.
    :param reply_to: number of the message that this one answers, else 0.
    """

    sender: InstanceId
    message: ports.PeerMessage
    id: int = 0
    reply_to: int = 0


def _camel(name: str) -> str:
    return alias_generators.to_camel(name)


_FIELD_BY_TYPE = {
    kind: kind.__name__[0].lower() + kind.__name__[1:] for kind in _MESSAGE_TYPES
}
_ADAPTER_BY_FIELD = {
    field: pydantic.TypeAdapter(
        pydantic.with_config(
            pydantic.ConfigDict(alias_generator=_camel, populate_by_name=True)
        )(kind)
    )
    for kind, field in _FIELD_BY_TYPE.items()
}


def encode(envelope: Envelope) -> bytes:
    """Return the envelope as bytes with its length in front."""
    field = _FIELD_BY_TYPE[type(envelope.message)]
    packed = _SCHEMA.Envelope.new_message(
        sender=envelope.sender,
        id=envelope.id,
        replyTo=envelope.reply_to,
        **{field: _plain(envelope.message)},
    ).to_bytes_packed()
    return len(packed).to_bytes(LENGTH_BYTES, "big") + packed


def decode(packed: bytes) -> Envelope:
    """Read an envelope from the bytes behind the length.

    :raises ValueError: the bytes are no envelope.
    """
    try:
        reader = _SCHEMA.Envelope.from_bytes_packed(packed)
        field = reader.which()
        message = _ADAPTER_BY_FIELD[str(field)].validate_python(
            getattr(reader, str(field)).to_dict()
        )
        sender = InstanceId(reader.sender)
        return Envelope(sender, message, reader.id, reader.replyTo)
    except (capnp.KjException, KeyError, pydantic.ValidationError) as error:
        raise ValueError(f"peer message can't be read: {error}") from error


def _plain(value: t.Any) -> t.Any:
    """Return dataclasses as dicts with camel-case keys, enums as their values."""
    if dataclasses.is_dataclass(value):
        return {
            _camel(field.name): _plain(getattr(value, field.name))
            for field in dataclasses.fields(value)
        }
    if isinstance(value, tuple):
        return [_plain(item) for item in value]
    return getattr(value, "value", value)
