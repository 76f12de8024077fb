"""Identifier types, and the attempt id that contains its own deadline."""

import dataclasses
import typing as t

InstanceId = t.NewType("InstanceId", str)
DataCentre = t.NewType("DataCentre", str)
AccountId = t.NewType("AccountId", str)
ServiceId = t.NewType("ServiceId", str)
EndpointId = t.NewType("EndpointId", str)
PromptPartId = t.NewType("PromptPartId", str)

SEPARATOR = "~"


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptId:
    """Globally unique id of one attempt of one request.

    The deadline is part of the id. Once it has passed, any instance may cancel
    the attempt at its endpoint.

    :param instance: the instance that makes the attempt.
    :param incarnation: run of the instance.
    :param counter: number of the request within this run.
    :param number: number of the attempt within the request.
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
        """The part that all attempts of one request have in common."""
        return SEPARATOR.join((self.instance, self.incarnation, str(self.counter)))

    def next(self) -> "AttemptId":
        """Return the id of the following attempt of the same request."""
        return dataclasses.replace(self, number=self.number + 1)

    @classmethod
    def parse(cls, text: str) -> "AttemptId | None":
        """Return the attempt id in ``text``, or ``None`` if it is another id."""
        parts = text.split(SEPARATOR)
        if len(parts) != 5 or not all(part.isdecimal() for part in parts[2:]):
            return None
        counter, number, deadline_ms = map(int, parts[2:])
        return cls(InstanceId(parts[0]), parts[1], counter, number, deadline_ms)
