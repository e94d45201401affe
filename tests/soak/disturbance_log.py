"""Tracks when the fleet was disturbed."""

import time

from tests.soak import const


class DisturbanceLog:
    """Tracks the number of active disturbances and the end of the last one."""

    def __init__(self) -> None:
        self.active = 0
        self.last_end_at = time.monotonic()

    def begin(self) -> None:
        """Record the start of a disturbance."""
        self.active += 1

    def end(self) -> None:
        """Record the end of a disturbance."""
        self.active -= 1
        self.last_end_at = time.monotonic()

    def record(self) -> None:
        """Record a disturbance that lasted until now."""
        self.last_end_at = time.monotonic()

    def quiet_since(self, at: float, margin_s: float = const.QUIET_DURATION_S) -> bool:
        """Return whether nothing has disturbed the fleet since `margin_s` before that time."""
        return self.active == 0 and self.last_end_at < at - margin_s
