"""In-memory log of the decisions made about recent requests."""

import collections
import dataclasses

MAX_REQUESTS = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One decision about a request, and its reason.

    :param at_ms: milliseconds since the request was admitted.
    """

    at_ms: int
    decision: str
    reason: str


class DecisionLog:
    """Keeps the decisions about the most recent requests, by request id."""

    def __init__(self) -> None:
        self._steps_by_request: collections.OrderedDict[str, list[Step]] = (
            collections.OrderedDict()
        )

    def record(self, request: str, step: Step) -> None:
        """Append a step to a request; evicts the oldest request when full."""
        if request not in self._steps_by_request:
            self._steps_by_request[request] = []
            if len(self._steps_by_request) > MAX_REQUESTS:
                self._steps_by_request.popitem(last=False)
        self._steps_by_request[request].append(step)

    def steps(self, request: str) -> list[Step]:
        """Return a request's steps in order; empty if the request is unknown."""
        return self._steps_by_request.get(request, [])
