"""What was decided about recent requests, and why."""

import collections
import dataclasses

KEPT_REQUESTS = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One decision: when, what and why.

    :param at_ms: milliseconds since the request was admitted.
    """

    at_ms: int
    decision: str
    reason: str


class Journal:
    """The decisions of the last requests, by request id."""

    def __init__(self) -> None:
        self._steps_by_request: collections.OrderedDict[str, list[Step]] = (
            collections.OrderedDict()
        )

    def note(self, request: str, step: Step) -> None:
        """Add a step to a request; forgets the oldest request when full."""
        if request not in self._steps_by_request:
            self._steps_by_request[request] = []
            if len(self._steps_by_request) > KEPT_REQUESTS:
                self._steps_by_request.popitem(last=False)
        self._steps_by_request[request].append(step)

    def steps(self, request: str) -> list[Step]:
        """Return a request's steps in order; empty when it is not known."""
        return self._steps_by_request.get(request, [])
