"""The clock port."""

import typing as t


class Clock(t.Protocol):
    """Tells the time; tests bring their own."""

    def now(self) -> float:
        """Return monotonic seconds."""

    def wall_ms(self) -> int:
        """Return milliseconds since 1970."""
