"""Monitors stalls of the event loop."""

import gevent

from spindle_daemon.components.process_metrics.const import LOOP_MONITOR_INTERVAL_S
from spindle_daemon.core.clock import Clock


class EventLoopMonitor:
    """Measures how late a short timer fires, which shows how long the loop was blocked."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.longest_stall_s = 0.0

    def run_forever(self) -> None:
        """Record the longest delay of the timer; never returns."""
        while True:
            due = self.clock.now() + LOOP_MONITOR_INTERVAL_S
            gevent.sleep(LOOP_MONITOR_INTERVAL_S)
            self.longest_stall_s = max(self.longest_stall_s, self.clock.now() - due)

    def take_longest_stall_s(self) -> float:
        """Return the longest stall in seconds since the last call."""
        longest_stall_s, self.longest_stall_s = self.longest_stall_s, 0.0
        return longest_stall_s
