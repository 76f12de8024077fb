"""Chooses the endpoint of a plain service for a call.

Load pattern: short calls to a few endpoints that differ in speed and may fail or
hang. The endpoint with the fewest calls in flight is chosen, weighted by its
slowdown and its recent failures.
"""

import dataclasses
import typing as t

from ._distances import Distance
from ._engine_estimates import NORMAL_FAILURE_SHARE
from ._ids import DataCentre, EndpointId

FAILURE_CALLS = 8.0  # calls in flight that a certain failure counts as
PREFERENCE_CALLS = 0.3  # calls in flight that the strongest preference counts as


@dataclasses.dataclass(frozen=True, slots=True)
class PlainCandidate:
    """An endpoint of a plain service.

    :param in_flight: estimated number of its running calls, of all instances.
    :param failure_share: expected share of failing calls.
    :param slowdown: how many times slower than usual it is.
    :param limit_wait_calls: time until its limit allows a request, in durations of a
        call.
    :param preference: of the instance that decides, from 0 to 1. A random one spreads
        the calls of many instances that don't know each other's calls.
    :param tie_break: decides between equally good endpoints, the lowest first.
    """

    id: EndpointId
    data_centre: DataCentre
    in_flight: int
    failure_share: float
    slowdown: float = 1.0
    limit_wait_calls: float = 0.0
    preference: float = 0.0
    tie_break: float = 0.0


def place_plain(
    candidates: t.Sequence[PlainCandidate], distance: Distance
) -> EndpointId | None:
    """Return the endpoint that is expected to answer first.

    :param distance: of the data centres from the instance that decides.
    """

    def cost(candidate: PlainCandidate) -> tuple[float, float, EndpointId]:
        calls = candidate.slowdown * candidate.in_flight
        calls += distance.calls(candidate.data_centre) + candidate.limit_wait_calls
        calls -= PREFERENCE_CALLS * candidate.preference
        # Otherwise an endpoint that has served calls would be better than an idle one.
        excess = max(0.0, candidate.failure_share - NORMAL_FAILURE_SHARE)
        calls += FAILURE_CALLS * excess
        return calls, candidate.tie_break, candidate.id

    best = min(candidates, key=cost, default=None)
    return best.id if best else None
