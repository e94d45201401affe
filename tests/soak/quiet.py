"""When nothing disturbed the fleet."""

import time

from tests.soak import const


class Quiet:
    """Knows the spans of the disturbances so far."""

    def __init__(self) -> None:
        self.open = 0
        self.last_end = time.monotonic()

    def begin(self) -> None:
        """A disturbance begins."""
        self.open += 1

    def end(self) -> None:
        """A disturbance has ended."""
        self.open -= 1
        self.last_end = time.monotonic()

    def disturbed(self) -> None:
        """Something disturbed until now."""
        self.last_end = time.monotonic()

    def since(self, at: float, margin_s: float = const.QUIET_S) -> bool:
        """Return whether nothing disturbed since a while before that time."""
        return self.open == 0 and self.last_end < at - margin_s
