"""Which endpoint of a plain service gets a call.

Load pattern: short calls to a few endpoints that differ in speed and may fail
or hang. The fewest calls in flight wins, weighed by what failed lately.
"""

import dataclasses
import typing as t

from ._ids import DataCentre, EndpointId

FAILURE_CALLS = 8.0  # a sure failure counts like so many calls in flight
AWAY_CALLS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class PlainCandidate:
    """An endpoint of a plain service.

    :param in_flight: calls of all instances that it is believed to hold.
    """

    id: EndpointId
    data_centre: DataCentre
    in_flight: int
    failure_share: float
    pace: float = 1.0


def place_plain(
    candidates: t.Sequence[PlainCandidate], data_centre: DataCentre
) -> EndpointId | None:
    """Return the endpoint that should answer first."""

    def cost(candidate: PlainCandidate) -> tuple[float, EndpointId]:
        away = AWAY_CALLS * (candidate.data_centre != data_centre)
        calls = candidate.pace * candidate.in_flight + away
        return calls + FAILURE_CALLS * candidate.failure_share, candidate.id

    best = min(candidates, key=cost, default=None)
    return best.id if best else None
