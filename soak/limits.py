"""The limits and timeouts of the configurations of a soak test, and what clients
may go by while one replaces another."""

import collections.abc as c
import dataclasses
import random
import typing as t

from standins.front_world import configuration

COLD_START = {"cold_start_s": 3.0, "cold_per_s": 4}  # of the runners of all services

IN_FORCE_S = 2.0  # after it was written, for instances that reach the store
IDLE_TIMEOUTS_MS = (600, 1000, 2000, 4000)
HEADER_TIMEOUTS_MS = (500, 1000, 2000)
ROUTE_TIMEOUTS_MS = (2000, 3000, 4000)


@dataclasses.dataclass(frozen=True)
class Limits:
    """The limits of one configuration, in seconds."""

    idle_timeout_s: float
    header_timeout_s: float
    route_timeout_s: float


@dataclasses.dataclass(frozen=True)
class _Written:
    """A configuration that was written at a time, in seconds.

    :param sure_from: when it is in force at all instances that reach the store.
    """

    limits: Limits
    at: float
    sure_from: float


class LimitHistory:
    """All configurations of a run in the order in which they were written."""

    def __init__(self, rng: random.Random, now: float) -> None:
        self._rng = rng
        self._version = 0
        self._value: dict[str, t.Any] = {}
        self._written: list[_Written] = []
        self.undisturbed_from = now
        self._next(now - IN_FORCE_S, Limits(3.0, 1.0, 4.0))

    @property
    def value(self) -> dict[str, t.Any]:
        """The present configuration."""
        return self._value

    def next_configuration(self, now: float) -> dict[str, t.Any]:
        """Return a later configuration with other limits, written now."""
        limits = Limits(
            self._rng.choice(IDLE_TIMEOUTS_MS) / 1000,
            self._rng.choice(HEADER_TIMEOUTS_MS) / 1000,
            self._rng.choice(ROUTE_TIMEOUTS_MS) / 1000,
        )
        return self._next(now, limits)

    def repeat_configuration(self, now: float) -> dict[str, t.Any]:
        """Return a later configuration with the present limits, written now."""
        return self._next(now, self._written[-1].limits)

    def record_disturbance(self, until: float) -> None:
        """Record that instances may not learn of configurations until a time."""
        self.undisturbed_from = max(self.undisturbed_from, until)
        self._written = [
            dataclasses.replace(
                written, sure_from=max(written.sure_from, until + IN_FORCE_S)
            )
            if written is self._written[-1]
            else written
            for written in self._written
        ]

    def _next(self, now: float, limits: Limits) -> dict[str, t.Any]:
        self._version += self._rng.randint(1, 5)
        self._value = _configuration(self._version, limits)
        sure_from = max(now, self.undisturbed_from) + IN_FORCE_S
        self._written.append(_Written(limits, now, sure_from))
        return self._value

    def for_clients(self, now: float) -> Limits:
        """Return the limits that a client goes by: the shortest of those in force."""
        return _combine(self._candidates(now, IN_FORCE_S), min)

    def longest(self, since: float, until: float) -> Limits:
        """Return the longest limits that may have been in force in a period."""
        return _combine(self._in_period(since, until), max)

    def shortest(self, since: float, until: float) -> Limits:
        """Return the shortest limits that may have been in force in a period."""
        return _combine(self._in_period(since, until), min)

    def _in_period(self, since: float, until: float) -> list[Limits]:
        return self._candidates(since, 0.0) + self._candidates(until, 0.0)

    def _candidates(self, now: float, known_after_s: float) -> list[Limits]:
        """Return the last limits that are in force for sure, and the later ones.

        :param known_after_s: time after which a client goes by a configuration.
        """
        first = max(
            (n for n in range(len(self._written)) if self._is_sure(n, now)), default=0
        )
        return [
            written.limits
            for number, written in enumerate(self._written[first:])
            if not number or written.at + known_after_s <= now
        ]

    def _is_sure(self, number: int, now: float) -> bool:
        """Return whether a configuration was in force at all instances by a time.

        One that was replaced before need not have reached any.
        """
        written = self._written[number]
        replaced = [later.at for later in self._written[number + 1 : number + 2]]
        return written.sure_from <= min([now, *replaced])


def _combine(limits: list[Limits], choose: c.Callable[[t.Any], float]) -> Limits:
    return Limits(
        choose(item.idle_timeout_s for item in limits),
        choose(item.header_timeout_s for item in limits),
        choose(item.route_timeout_s for item in limits),
    )


def _configuration(version: int, limits: Limits) -> dict[str, t.Any]:
    value = configuration(version)
    for service in value["services"]:
        service |= COLD_START
    value["limits"] |= {
        "idle_timeout_ms": int(limits.idle_timeout_s * 1000),
        "header_timeout_ms": int(limits.header_timeout_s * 1000),
    }
    for route in value["routes"]:
        route["timeout_ms"] = int(limits.route_timeout_s * 1000)
    return value
