"""Notices that the platform was restored from a backup.

A restore takes back writes that the platform had acknowledged, and row versions are
assigned again. The platform names its era in each answer; a restore begins a new one.
"""

import logging
import math
import typing as t

from ..core import FIRST_ERA
from ..ports import Clock, Platform

logger = logging.getLogger("foxtailsaddle.platform")


class RestoreMonitor:
    """The platform's present era, and when this instance first saw it.

    :ivar on_restore: called after each restore that this instance has seen.
    """

    def __init__(self, platform: Platform, clock: Clock) -> None:
        self._clock = clock
        self._platform = platform
        self._seen_at = -math.inf
        self.on_restore: list[t.Callable[[], None]] = []
        platform.on_new_era = self._begin_era

    @property
    def era(self) -> int:
        """The era of the platform's latest answers; 0 before the first."""
        return self._platform.era

    def elapsed_s(self) -> float:
        """Return the time since the present era was first seen.

        Infinite if the platform was never restored.
        """
        return self._clock.now() - self._seen_at

    def _begin_era(self, era: int, previous: int) -> None:
        if era <= FIRST_ERA:
            return
        # A restore may have happened right before this instance started.
        self._seen_at = self._clock.now()
        if not previous:
            return
        logger.warning("platform: restored", extra={"era": era, "previous": previous})
        for callback in self.on_restore:
            callback()
