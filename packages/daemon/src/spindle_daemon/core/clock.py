"""The clocks of a process."""

import time
from typing import Protocol

from spindle_decisions.util.units import MS_PER_S


class Clock(Protocol):
    """Monotonic and wall-clock time of a process."""

    def now(self) -> float:
        """Return monotonic seconds."""

    def wall_ms(self) -> int:
        """Return Unix time in milliseconds."""


class SystemClock:
    """The clocks of the operating system."""

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def wall_ms(self) -> int:
        """Return Unix time in milliseconds."""
        return int(time.time() * MS_PER_S)
