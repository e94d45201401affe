"""An operator who changes the configuration and reads it back."""

import itertools
import random
import time
from collections.abc import Callable

import gevent
import gevent.socket

from tests.daemon.routed.common import ID, read_answer, request_bytes
from tests.soak import const
from tests.soak.callers import LOOKUP
from tests.soak.document import HOST, document, marker
from tests.soak.ledger import Ledger
from tests.soak.stage import Stage

PAUSE_S = (0.4, 1.6)
CALL_S = 2.0


class Operator:
    """Knows what was acknowledged and what each entry instance has shown in its present life."""

    def __init__(self, stage: Stage, ledger: Ledger, rng: random.Random) -> None:
        self.stage = stage
        self.ledger = ledger
        self.rng = rng
        self.numbers = itertools.count(1)
        self.version = 0
        self.acknowledged = 0
        self.shown: dict[tuple[str, int], int] = {}
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Begin to change, read and probe."""
        for action in (self.change_once, self.read_once, self.probe_once):
            self.greenlets.append(self.ledger.watch(gevent.spawn(self._repeat, action)))

    def stop(self) -> None:
        """Change nothing more."""
        gevent.killall(self.greenlets)

    def change_once(self) -> bool:
        """Send the next version; return whether it was acknowledged."""
        self.version += 1
        version = self.version
        status = self.stage.fleet.replace(self.rng.choice(const.CONTROLS), document(version))
        self.ledger.check("a valid change is not called invalid", status != 400, (version, status))
        if status == 200:
            self.acknowledged = max(self.acknowledged, version)
        return status == 200

    def read_once(self) -> None:
        """Read the configuration at some control instance."""
        least = self.acknowledged
        name = self.rng.choice(const.CONTROLS)
        status, body = self.stage.fleet.read(name)
        if status != 200:
            return
        held = [item for item in range(least, self.version + 1) if document(item) == body]
        what = (name, f"acknowledged {least}, read {body[:40]!r}")
        self.ledger.check("a read is as new as what was acknowledged", bool(held), what)

    def probe_once(self) -> None:
        """Ask some entry instance for the newest version's route and for an older one's."""
        entry = self.rng.choice(const.ENTRIES)
        newest = self.acknowledged
        if newest:
            self.shows(entry, newest)
        life = self._life(entry)
        shown = self.shown.get(life, 0)
        if shown <= 1:
            return
        older = self.rng.randrange(max(1, shown - 3), shown)
        status = self._ask(entry, older)
        same = self._life(entry) == life
        back = same and status == 200
        self.ledger.check("no instance goes back", not back, (entry, shown, older))

    def shows(self, entry: str, version: int) -> bool:
        """Return whether an entry instance serves the route that only this version has."""
        life = self._life(entry)
        if self._ask(entry, version) != 200 or self._life(entry) != life:
            return False
        self.shown[life] = max(self.shown.get(life, 0), version)
        return True

    def _life(self, entry: str) -> tuple[str, int]:
        child = self.stage.fleet.processes[entry].child
        assert child is not None
        return entry, child.pid

    def _ask(self, entry: str, version: int) -> int:
        address = (self.stage.fleet.ip(entry), self.stage.fleet.front)
        request_id = f"probe-{next(self.numbers)}"
        self.stage.sent.append((time.monotonic(), LOOKUP))
        request = request_bytes(f"{marker(version)}x", **{"Host": HOST, ID: request_id})
        try:
            with gevent.socket.create_connection(address, CALL_S) as sock:
                sock.settimeout(CALL_S)
                sock.sendall(request)
                return read_answer(sock).status
        except OSError:
            return 0

    def _repeat(self, action: Callable[[], object]) -> None:
        while True:
            started = time.monotonic()
            action()
            gevent.sleep(max(0.0, started + self.rng.uniform(*PAUSE_S) - time.monotonic()))
