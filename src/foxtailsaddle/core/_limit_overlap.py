"""The limits that hold for clients while one configuration replaces another.

Load pattern: clients hold many connections open and come back just before the idle
timeout, while configurations change it. A client may learn of a change earlier or
later than this instance does. A connection that is closed by the limit of one side
only takes a request with it.
"""

import dataclasses

from ._routes import TrafficLimits


class LimitOverlap:
    """The limits in force, joined with the ones that they have just replaced.

    :param overlap_s: seconds for which clients may still go by a replaced limit.
    """

    def __init__(self, overlap_s: float) -> None:
        self._overlap_s = overlap_s
        self._current: TrafficLimits | None = None
        self._replaced: list[tuple[float, TrafficLimits]] = []

    def replace(self, limits: TrafficLimits, now: float) -> None:
        """Put new limits in force.

        The first ones may have replaced others just before this process started, which
        gave more time for a head.
        """
        if limits == self._current:
            return
        self._replaced.append((now, self._current or _usual_header_time(limits)))
        self._current = limits

    def at(self, now: float) -> TrafficLimits:
        """Return the most generous value of each limit that a client may go by."""
        if self._current is None:
            return TrafficLimits()
        if not self._replaced:
            return self._current
        self._replaced = [
            (replaced_at, limits)
            for replaced_at, limits in self._replaced
            if now - replaced_at < self._overlap_s
        ]
        return _most_generous([self._current, *(item[1] for item in self._replaced)])


def _usual_header_time(limits: TrafficLimits) -> TrafficLimits:
    """Return limits with the time for a head that holds without a configuration."""
    usual_s = TrafficLimits().header_timeout_s
    return dataclasses.replace(limits, header_timeout_s=usual_s)


def _most_generous(alternatives: list[TrafficLimits]) -> TrafficLimits:
    return TrafficLimits(
        **{
            field.name: max(getattr(limits, field.name) for limits in alternatives)
            for field in dataclasses.fields(TrafficLimits)
        }
    )
