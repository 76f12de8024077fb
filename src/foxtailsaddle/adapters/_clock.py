"""The clock port over trio and the system's clock."""

import time

import trio


class SystemClock:
    """Monotonic time from trio, wall-clock time from the system."""

    def now(self) -> float:
        """Return the monotonic time, in seconds."""
        return trio.current_time()

    def wall_ms(self) -> int:
        """Return the wall-clock time as milliseconds since the Unix epoch."""
        return int(time.time() * 1000)
