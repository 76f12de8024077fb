"""The clock port."""

import typing as t


class Clock(t.Protocol):
    """Source of time; tests replace it by a clock that they control."""

    def now(self) -> float:
        """Return the monotonic time, in seconds."""

    def wall_ms(self) -> int:
        """Return the wall-clock time as milliseconds since the Unix epoch."""
