"""Identifiers, and the attempt id that carries its own deadline."""

import dataclasses
import typing as t

InstanceId = t.NewType("InstanceId", str)
DataCentre = t.NewType("DataCentre", str)
AccountId = t.NewType("AccountId", str)
ServiceId = t.NewType("ServiceId", str)
EndpointId = t.NewType("EndpointId", str)

SEPARATOR = "~"


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptId:
    """Names one attempt of one request, uniquely and for good.

    Because the deadline is part of the name, any instance may cancel what an
    endpoint still holds under it once that time has passed.

    :param deadline_ms: wall-clock time in milliseconds since 1970.
    """

    instance: InstanceId
    incarnation: str
    counter: int
    number: int
    deadline_ms: int

    def __str__(self) -> str:
        parts = (self.instance, self.incarnation, self.counter, self.number)
        return SEPARATOR.join(map(str, (*parts, self.deadline_ms)))

    @property
    def request(self) -> str:
        """The part shared by all attempts of one request."""
        return SEPARATOR.join((self.instance, self.incarnation, str(self.counter)))

    def next(self) -> "AttemptId":
        """Return the id of the following attempt of the same request."""
        return dataclasses.replace(self, number=self.number + 1)

    @classmethod
    def parse(cls, text: str) -> "AttemptId | None":
        """Return the id written as ``text``, or ``None`` for a foreign name."""
        parts = text.split(SEPARATOR)
        if len(parts) != 5 or not all(part.isdecimal() for part in parts[2:]):
            return None
        counter, number, deadline_ms = map(int, parts[2:])
        return cls(InstanceId(parts[0]), parts[1], counter, number, deadline_ms)
