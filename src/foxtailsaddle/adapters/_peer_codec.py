"""Typed peer messages to and from Cap'n Proto."""

import dataclasses
import pathlib
import typing as t
from enum import Enum

import capnp
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


class _Field:
    """How one field of a message is written and read."""

    def __init__(self, name: str, hint: t.Any) -> None:
        self.name = name
        self.camel = alias_generators.to_camel(name)
        self._item_plan: _Plan | None = None
        self._enum = hint if isinstance(hint, type) and issubclass(hint, Enum) else None
        self._is_list = t.get_origin(hint) is tuple
        if self._is_list and dataclasses.is_dataclass(t.get_args(hint)[0]):
            self._item_plan = _Plan(t.get_args(hint)[0])

    def write(self, builder: t.Any, value: t.Any) -> None:
        if self._item_plan is not None:
            items = builder.init(self.camel, len(value))
            for index, item in enumerate(value):
                self._item_plan.write(items[index], item)
            return
        if self._is_list:
            value = list(value)
        elif self._enum is not None:
            value = value.value
        setattr(builder, self.camel, value)

    def read(self, reader: t.Any) -> t.Any:
        value = getattr(reader, self.camel)
        if self._item_plan is not None:
            return tuple(self._item_plan.read(item) for item in value)
        if self._is_list:
            return tuple(value)
        return value if self._enum is None else self._enum(value)


class _Plan:
    """How one kind of message is written and read."""

    def __init__(self, kind: type) -> None:
        hints = t.get_type_hints(kind)
        self._kind = kind
        self._fields = [
            _Field(field.name, hints[field.name]) for field in dataclasses.fields(kind)
        ]

    def write(self, builder: t.Any, message: t.Any) -> None:
        for field in self._fields:
            field.write(builder, getattr(message, field.name))

    def read(self, reader: t.Any) -> t.Any:
        return self._kind(*[field.read(reader) for field in self._fields])


_FIELD_BY_TYPE = {
    kind: kind.__name__[0].lower() + kind.__name__[1:] for kind in _MESSAGE_TYPES
}
_PLAN_BY_FIELD = {field: _Plan(kind) for kind, field in _FIELD_BY_TYPE.items()}


def encode(envelope: Envelope) -> bytes:
    """Return the envelope as bytes with its length in front."""
    field = _FIELD_BY_TYPE[type(envelope.message)]
    builder = _SCHEMA.Envelope.new_message()
    builder.sender = envelope.sender
    builder.id = envelope.id
    builder.replyTo = envelope.reply_to
    _PLAN_BY_FIELD[field].write(builder.init(field), envelope.message)
    packed = builder.to_bytes_packed()
    return len(packed).to_bytes(LENGTH_BYTES, "big") + packed


def decode(packed: bytes) -> Envelope:
    """Read an envelope from the bytes behind the length.

    :raises ValueError: the bytes are no envelope.
    """
    try:
        reader = _SCHEMA.Envelope.from_bytes_packed(packed)
        field = str(reader.which())
        message = _PLAN_BY_FIELD[field].read(getattr(reader, field))
        sender = InstanceId(reader.sender)
        return Envelope(sender, message, reader.id, reader.replyTo)
    except (capnp.KjException, KeyError, ValueError) as error:
        raise ValueError(f"peer message can't be read: {error}") from error
