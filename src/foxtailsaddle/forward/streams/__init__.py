"""Places prompts at engines and forwards their streams."""

from ._forwarder import StreamForwarder
from ._placer import StreamPlacer
from ._reports import ReportPoller
from ._reservations import Reservations
from ._slot_queues import SlotQueues

__all__ = [
    "ReportPoller",
    "Reservations",
    "SlotQueues",
    "StreamForwarder",
    "StreamPlacer",
]
