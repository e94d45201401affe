"""A watch over the processes: none ends by itself, none grows beyond its memory."""

import gevent
from bench.process_meter import process_use

from tests.soak import const
from tests.soak.ledger import Ledger
from tests.soak.stage import Stage

POLL_S = 0.5
# A failed write may end a process; what starts after it waits for its disk.
ENDS_ALLOWED = 1


class ProcessWatch:
    """Looks at all processes, and starts those again that their disk has ended.

    `ended` names the processes that a fault has ended or asked to end; `bad_disks` says
    how often each process with a bad disk has ended since its disk went bad.
    """

    def __init__(self, stage: Stage, ledger: Ledger) -> None:
        self.stage = stage
        self.ledger = ledger
        self.ended: set[str] = set()
        self.bad_disks: dict[str, int] = {}
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to watch."""
        self.greenlet = self.ledger.watch(gevent.spawn(self._watch))

    def stop(self) -> None:
        """Watch no longer."""
        if self.greenlet is not None:
            self.greenlet.kill()

    def look(self, name: str) -> None:
        """Look at one process now."""
        process = self.stage.fleet.processes[name]
        child = process.child
        if name in self.ended or child is None:
            return
        if process.running:
            resident = process_use(child.pid).resident_bytes
            self.ledger.check("memory is bounded", resident < const.RESIDENT_BYTES, name)
            self.ledger.check("no process ends by itself", True)
            return
        ends = self.bad_disks.get(name, ENDS_ALLOWED) + 1
        if name in self.bad_disks:
            self.bad_disks[name] = ends
        seen = (name, child.returncode, ends)
        self.ledger.check("no process ends by itself", ends <= ENDS_ALLOWED, seen)
        self.stage.start_instance(name)

    def _watch(self) -> None:
        while True:
            for name in self.stage.names:
                self.look(name)
            gevent.sleep(POLL_S)
