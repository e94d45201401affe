"""Whether the machine that the soak runs on is at ease."""

import os
import pathlib
import time

import gevent
from bench.process_meter import cpu_pressure_s

from tests.soak.ledger import Ledger
from tests.soak.quiet import Quiet

POLL_S = 0.25
# Above these the machine is short of processor time, or its disk stalls.
LATE_S = 0.1
PRESSURE = 0.7
SYNC_S = 0.2


class MachineWatch:
    """Measures the lateness of its own loop, the pressure on processors, and syncs.

    What the machine does is no fault of the fleet: while it is not at ease, nothing is
    quiet, and bounds in seconds stand still.
    """

    def __init__(self, folder: pathlib.Path, ledger: Ledger, quiet: Quiet) -> None:
        self.probe = folder / "probe"
        self.ledger = ledger
        self.quiet = quiet
        self.sync_began = 0.0
        self.uneasy_at = 0.0
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Begin to measure."""
        for part in (self._watch, self._sync):
            self.greenlets.append(self.ledger.watch(gevent.spawn(part)))

    def stop(self) -> None:
        """Measure no longer."""
        gevent.killall(self.greenlets)

    def at_ease_since(self, at: float) -> bool:
        """Return whether the machine was at ease from that monotonic time on."""
        return self.uneasy_at < at

    def _watch(self) -> None:
        while True:
            began, pressure_s = time.monotonic(), cpu_pressure_s()
            gevent.sleep(POLL_S)
            now = time.monotonic()
            took_s = now - began
            pressed = (cpu_pressure_s() - pressure_s) / took_s > PRESSURE
            stalled = self.sync_began and now - self.sync_began > SYNC_S
            if pressed or stalled or took_s - POLL_S > LATE_S:
                self.uneasy_at = now
                self.ledger.uneasy_s += took_s
                self.quiet.disturbed()

    def _sync(self) -> None:
        pool = gevent.get_hub().threadpool
        while True:
            self.sync_began = time.monotonic()
            pool.apply(self._write)
            self.sync_began = 0.0
            gevent.sleep(POLL_S)

    def _write(self) -> None:
        with self.probe.open("wb") as stream:
            stream.write(b"probe")
            stream.flush()
            os.fsync(stream.fileno())
