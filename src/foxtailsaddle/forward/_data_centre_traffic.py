"""Counts the requests that leave the data centre of this instance."""

import collections

from ..core import LeaveReason
from ._metrics import ForwardMetrics
from ._request_context import RequestContext


class DataCentreTraffic:
    """Attempts in other data centres, by the reason why they left.

    :ivar sent_bytes: size of the bodies that were sent there.
    """

    def __init__(self) -> None:
        self._count_by_reason: collections.Counter[LeaveReason] = collections.Counter()
        self.sent_bytes = 0

    def record(self, context: RequestContext) -> None:
        """Count the attempt that a request is about to make, if it leaves."""
        reason = context.leave_reason
        if reason is None:
            return
        self._count_by_reason[reason] += 1
        self.sent_bytes += len(context.body)
        context.log_fields["left"] = reason.value

    def count(self, reason: LeaveReason) -> int:
        """Return the number of attempts that left for a reason."""
        return self._count_by_reason[reason]

    def report(self, metrics: ForwardMetrics) -> None:
        """Set the gauges."""
        for reason in LeaveReason:
            metrics.set(f"left_{reason.value}", self._count_by_reason[reason])
        metrics.set("left_bytes", self.sent_bytes)
