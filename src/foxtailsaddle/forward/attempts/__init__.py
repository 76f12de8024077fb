"""One attempt at one endpoint, and what it tells of the endpoint."""

from ._attempt import Attempt, JobIdGenerator, RefusedError
from ._crash_detector import CrashDetector
from ._notices import record_notice_at
from ._part_checks import PartChecks

__all__ = [
    "Attempt",
    "CrashDetector",
    "JobIdGenerator",
    "PartChecks",
    "RefusedError",
    "record_notice_at",
]
