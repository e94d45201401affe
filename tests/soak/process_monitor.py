"""Monitors processes for unexpected exits and memory growth."""

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

    `expected_exits` names the processes that a fault has killed or asked to stop;
    `disk_fault_exits` counts the exits of each process since its disk became faulty.
    """

    def __init__(self, environment: SoakEnvironment, results: CheckResults) -> None:
        self.environment = environment
        self.results = results
        self.expected_exits: set[str] = set()
        self.disk_fault_exits: dict[str, int] = {}
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
        exits = self.disk_fault_exits.get(name, MAX_EXITS_PER_DISK_FAULT) + 1
        if name in self.disk_fault_exits:
            self.disk_fault_exits[name] = exits
        details = (name, child.returncode, exits)
        self.results.check("no process ends by itself", exits <= MAX_EXITS_PER_DISK_FAULT, details)
        self.environment.start_instance(name)

    def _monitor(self) -> None:
        while True:
            for name in self.environment.names:
                self.check(name)
            gevent.sleep(POLL_INTERVAL_S)
