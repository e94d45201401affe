"""When nothing disturbed the fleet."""

import time

from tests.soak import const


class DisturbanceLog:
    """Knows the spans of the disturbances so far."""

    def __init__(self) -> None:
        self.active = 0
        self.last_end_at = time.monotonic()

    def begin(self) -> None:
        """A disturbance begins."""
        self.active += 1

    def end(self) -> None:
        """A disturbance has ended."""
        self.active -= 1
        self.last_end_at = time.monotonic()

    def record(self) -> None:
        """Something disturbed until now."""
        self.last_end_at = time.monotonic()

    def quiet_since(self, at: float, margin_s: float = const.QUIET_DURATION_S) -> bool:
        """Return whether nothing disturbed since a while before that time."""
        return self.active == 0 and self.last_end_at < at - margin_s
