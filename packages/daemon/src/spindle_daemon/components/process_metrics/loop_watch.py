"""A watch over the event loop."""

import gevent

from spindle_daemon.components.process_metrics.const import LOOP_WATCH_PERIOD_S
from spindle_daemon.core.clock import Clock


class LoopWatch:
    """Measures how late a short timer fires: whatever holds the loop delays it."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.longest_s = 0.0

    def run_forever(self) -> None:
        """Watch."""
        while True:
            due = self.clock.now() + LOOP_WATCH_PERIOD_S
            gevent.sleep(LOOP_WATCH_PERIOD_S)
            self.longest_s = max(self.longest_s, self.clock.now() - due)

    def take(self) -> float:
        """Return the longest stall in seconds since the last call."""
        longest, self.longest_s = self.longest_s, 0.0
        return longest
