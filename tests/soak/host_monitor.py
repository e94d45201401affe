"""Detects overload of the host that the soak runs on."""

import os
import pathlib
import time

import gevent
from bench.process_meter import cpu_pressure_s

from tests.soak.disturbance_log import DisturbanceLog
from tests.soak.ledger import CheckResults

POLL_INTERVAL_S = 0.25
# Above these limits the host is short of processor time, or its disk stalls.
MAX_LOOP_DELAY_S = 0.1
MAX_CPU_PRESSURE = 0.7
MAX_SYNC_DURATION_S = 0.2


class HostMonitor:
    """Measures the delay of its own loop, the CPU pressure and the duration of syncs.

    Overload of the host is not a fault of the fleet: it counts as a disturbance, and the
    time limits of checks do not run meanwhile.
    """

    def __init__(
        self, folder: pathlib.Path, results: CheckResults, disturbances: DisturbanceLog
    ) -> None:
        self.probe_path = folder / "probe"
        self.results = results
        self.disturbances = disturbances
        self.sync_started_at = 0.0
        self.overloaded_at = 0.0
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start measuring."""
        for task in (self._monitor_load, self._monitor_sync):
            self.greenlets.append(self.results.monitor(gevent.spawn(task)))

    def stop(self) -> None:
        """Stop measuring."""
        gevent.killall(self.greenlets)

    def no_overload_since(self, at: float) -> bool:
        """Return whether the host has not been overloaded since that monotonic time."""
        return self.overloaded_at < at

    def _monitor_load(self) -> None:
        while True:
            started_at, pressure_s = time.monotonic(), cpu_pressure_s()
            gevent.sleep(POLL_INTERVAL_S)
            now = time.monotonic()
            elapsed_s = now - started_at
            cpu_pressed = (cpu_pressure_s() - pressure_s) / elapsed_s > MAX_CPU_PRESSURE
            disk_stalled = self.sync_started_at and now - self.sync_started_at > MAX_SYNC_DURATION_S
            if cpu_pressed or disk_stalled or elapsed_s - POLL_INTERVAL_S > MAX_LOOP_DELAY_S:
                self.overloaded_at = now
                self.results.overloaded_s += elapsed_s
                self.disturbances.record()

    def _monitor_sync(self) -> None:
        pool = gevent.get_hub().threadpool
        while True:
            self.sync_started_at = time.monotonic()
            pool.apply(self._write)
            self.sync_started_at = 0.0
            gevent.sleep(POLL_INTERVAL_S)

    def _write(self) -> None:
        with self.probe_path.open("wb") as stream:
            stream.write(b"probe")
            stream.flush()
            os.fsync(stream.fileno())
