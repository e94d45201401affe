"""Shortage of processor time on this machine, by time."""

import bisect
import time

import gevent

from bench.process_meter import cpu_pressure_s

SAMPLE_INTERVAL_S = 0.1


class PressureMonitor:
    """Samples the time in which some process of the machine waited for a processor.

    Example: `monitor.pressure(started, ended)` returns 0.5 if some process waited in
    half of the time between the two monotonic times.
    """

    def __init__(self) -> None:
        # Monotonic times of the samples, and the total waiting time at each.
        self.times: list[float] = []
        self.totals: list[float] = []
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Take samples until `stop` is called."""
        self.add_sample(time.monotonic(), cpu_pressure_s())
        self.greenlet = gevent.spawn(self._sample_forever)

    def stop(self) -> None:
        """Stop sampling."""
        if self.greenlet is not None:
            self.greenlet.kill()

    def add_sample(self, at: float, total_s: float) -> None:
        """Add a sample that is newer than all others."""
        self.times.append(at)
        self.totals.append(total_s)

    def pressure(self, started: float, ended: float) -> float:
        """Return the share of the time between two monotonic times in which processes waited."""
        self.add_sample(time.monotonic(), cpu_pressure_s())
        return self._share(started, ended)

    def _share(self, started: float, ended: float) -> float:
        first = max(0, bisect.bisect_right(self.times, started) - 1)
        last = min(len(self.times) - 1, bisect.bisect_left(self.times, ended))
        elapsed_s = self.times[last] - self.times[first]
        return (self.totals[last] - self.totals[first]) / elapsed_s if elapsed_s > 0.0 else 0.0

    def _sample_forever(self) -> None:
        while True:
            gevent.sleep(SAMPLE_INTERVAL_S)
            self.add_sample(time.monotonic(), cpu_pressure_s())
