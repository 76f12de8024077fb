"""Encodes peer messages, which are dataclasses, in Cap'n Proto and back.

A message's class name gives its field in the union of ``Envelope``, and the names
of its fields in camel case give the fields of the Cap'n Proto struct.
"""

import dataclasses
import pathlib
import typing as t
from enum import Enum

import capnp
from pydantic import alias_generators

from .. import ports
from .._input_readers import reading
from ..core import InstanceId

MAX_MESSAGE_BYTES = 8 * 1024 * 1024
LENGTH_PREFIX_BYTES = 4

_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("peers.capnp")))
_MESSAGE_TYPES: tuple[type, ...] = t.get_args(ports.PeerMessage)


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """One message on a link.

    :param id: number of the message if it expects a reply, otherwise 0.
    :param reply_to: number of the message that this one answers, otherwise 0.
    """

    sender: InstanceId
    message: ports.PeerMessage
    id: int = 0
    reply_to: int = 0


class _FieldCodec:
    """Encodes and decodes one field of a struct.

    :param name: name of the dataclass field.
    :param hint: its type.
    """

    def __init__(self, name: str, hint: t.Any) -> None:
        self.name = name
        self.capnp_name = alias_generators.to_camel(name)
        self._item_codec: _StructCodec | None = None
        self._enum = hint if isinstance(hint, type) and issubclass(hint, Enum) else None
        self._is_list = t.get_origin(hint) is tuple
        if self._is_list and dataclasses.is_dataclass(t.get_args(hint)[0]):
            self._item_codec = _StructCodec(t.get_args(hint)[0])

    def write(self, builder: t.Any, value: t.Any) -> None:
        if self._item_codec is not None:
            items = builder.init(self.capnp_name, len(value))
            for index, item in enumerate(value):
                self._item_codec.write(items[index], item)
            return
        if self._is_list:
            value = list(value)
        elif self._enum is not None:
            value = value.value
        setattr(builder, self.capnp_name, value)

    def read(self, reader: t.Any) -> t.Any:
        value = getattr(reader, self.capnp_name)
        if self._item_codec is not None:
            return tuple(self._item_codec.read(item) for item in value)
        if self._is_list:
            return tuple(value)
        return value if self._enum is None else self._enum(value)


class _StructCodec:
    """Encodes and decodes one message type or a type nested in it.

    :param message_type: a dataclass.
    """

    def __init__(self, message_type: type) -> None:
        hints = t.get_type_hints(message_type)
        self._message_type = message_type
        self._fields = [
            _FieldCodec(field.name, hints[field.name])
            for field in dataclasses.fields(message_type)
        ]

    def write(self, builder: t.Any, message: t.Any) -> None:
        for field in self._fields:
            field.write(builder, getattr(message, field.name))

    def read(self, reader: t.Any) -> t.Any:
        return self._message_type(*[field.read(reader) for field in self._fields])


_UNION_FIELD_BY_TYPE = {
    message_type: message_type.__name__[0].lower() + message_type.__name__[1:]
    for message_type in _MESSAGE_TYPES
}
_CODEC_BY_UNION_FIELD = {
    field: _StructCodec(message_type)
    for message_type, field in _UNION_FIELD_BY_TYPE.items()
}


def encode(envelope: Envelope) -> bytes:
    """Return the packed envelope, prefixed with its length in bytes."""
    field = _UNION_FIELD_BY_TYPE[type(envelope.message)]
    builder = _SCHEMA.Envelope.new_message()
    builder.sender = envelope.sender
    builder.id = envelope.id
    builder.replyTo = envelope.reply_to
    _CODEC_BY_UNION_FIELD[field].write(builder.init(field), envelope.message)
    packed = builder.to_bytes_packed()
    return len(packed).to_bytes(LENGTH_PREFIX_BYTES, "big") + packed


def decode(packed: bytes) -> Envelope:
    """Decode a packed envelope, without its length prefix.

    :raises UnreadableInputError: the bytes are not a valid envelope.
    """
    with reading("message of another instance"):
        reader = _SCHEMA.Envelope.from_bytes_packed(packed)
        field = str(reader.which())
        message = _CODEC_BY_UNION_FIELD[field].read(getattr(reader, field))
        sender = InstanceId(reader.sender)
        return Envelope(sender, message, reader.id, reader.replyTo)
