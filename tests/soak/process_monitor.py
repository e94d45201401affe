"""Monitors processes for unexpected exits and memory growth."""

from collections import Counter

import gevent
from bench.process_meter import process_use

from tests.soak import const
from tests.soak.ledger import CheckResults
from tests.soak.soak_environment import SoakEnvironment

POLL_INTERVAL_S = 0.5
# A failed write may end a process once; the restarted process waits for its disk instead.
MAX_EXITS_PER_DISK_FAULT = 1


class ProcessMonitor:
    """Checks all processes and restarts those that a disk fault has ended.

    `expected_exits` names the processes that a fault has killed or asked to stop.
    `disk_fault_exits` counts the exits by process and by the number of the disk fault
    that rejected a write of the process that exited. `full_disks` names the processes
    whose disk is full now.
    """

    def __init__(self, environment: SoakEnvironment, results: CheckResults) -> None:
        self.environment = environment
        self.results = results
        self.expected_exits: set[str] = set()
        self.disk_fault_exits: Counter[tuple[str, int]] = Counter()
        self.full_disks: set[str] = set()
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start monitoring."""
        self.greenlet = self.results.monitor(gevent.spawn(self._monitor))

    def stop(self) -> None:
        """Stop monitoring."""
        if self.greenlet is not None:
            self.greenlet.kill()

    def check(self, name: str) -> None:
        """Check one process now; restart it if it has ended."""
        process = self.environment.fleet.processes[name]
        child = process.child
        if name in self.expected_exits or child is None:
            return
        if process.running:
            resident = process_use(child.pid).resident_bytes
            self.results.check("memory is bounded", resident < const.MAX_RESIDENT_BYTES, name)
            self.results.check("no process ends by itself", True)
            return
        rejected = self.environment.rejected_write(name)
        allowed = False
        if rejected is not None and rejected.pid == child.pid:
            self.disk_fault_exits[name, rejected.fault] += 1
            allowed = self.disk_fault_exits[name, rejected.fault] <= MAX_EXITS_PER_DISK_FAULT
        details = (name, child.returncode, child.pid, rejected)
        self.results.check("no process ends by itself", allowed, details)
        self.environment.start_instance(name)

    def has_lost_disk(self, name: str, pid: int) -> bool:
        """Return whether the disk of a process is full, or was when the process last wrote."""
        rejected = self.environment.rejected_write(name)
        return name in self.full_disks or (rejected is not None and rejected.pid == pid)

    def _monitor(self) -> None:
        while True:
            for name in self.environment.names:
                self.check(name)
            gevent.sleep(POLL_INTERVAL_S)
