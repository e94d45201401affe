"""An operator who replaces the plan and reads it back."""

import itertools
import random
import time
from collections.abc import Callable

import gevent
import gevent.socket

from tests.daemon.routed.common import ID, read_answer, request_bytes
from tests.soak import const
from tests.soak.callers import LOOKUP
from tests.soak.ledger import CheckResults
from tests.soak.plan_document import HOST, marker_prefix, plan_document
from tests.soak.soak_environment import SoakEnvironment

INTERVAL_RANGE_S = (0.4, 1.6)
CALL_TIMEOUT_S = 2.0


class Operator:
    """Tracks the acknowledged version and the newest version served by each entry process."""

    def __init__(
        self, environment: SoakEnvironment, results: CheckResults, rng: random.Random
    ) -> None:
        self.environment = environment
        self.results = results
        self.rng = rng
        self.numbers = itertools.count(1)
        self.version = 0
        self.acknowledged = 0
        self.served_versions: dict[tuple[str, int], int] = {}
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start changing, reading and probing."""
        for action in (self.change_once, self.read_once, self.probe_once):
            self.greenlets.append(self.results.monitor(gevent.spawn(self._repeat, action)))

    def stop(self) -> None:
        """Stop changing, reading and probing."""
        gevent.killall(self.greenlets)

    def change_once(self) -> bool:
        """Send the next version of the plan; return whether it was acknowledged."""
        self.version += 1
        version = self.version
        status = self.environment.fleet.replace_plan(
            self.rng.choice(const.CONTROLS), plan_document(version)
        )
        self.results.check("a valid change is not called invalid", status != 400, (version, status))
        if status == 200:
            self.acknowledged = max(self.acknowledged, version)
        return status == 200

    def read_once(self) -> None:
        """Check that a read at a random control instance is as new as the acknowledged version."""
        min_version = self.acknowledged
        name = self.rng.choice(const.CONTROLS)
        status, body = self.environment.fleet.read_plan(name)
        if status != 200:
            return
        matching = [
            item for item in range(min_version, self.version + 1) if plan_document(item) == body
        ]
        details = (name, f"acknowledged {min_version}, read {body[:40]!r}")
        self.results.check("a read is as new as what was acknowledged", bool(matching), details)

    def probe_once(self) -> None:
        """Ask a random entry instance for the marker routes of the newest and an older version."""
        entry = self.rng.choice(const.ENTRIES)
        newest_version = self.acknowledged
        if newest_version:
            self.serves(entry, newest_version)
        lifetime = self._lifetime(entry)
        served_version = self.served_versions.get(lifetime, 0)
        if served_version <= 1:
            return
        older_version = self.rng.randrange(max(1, served_version - 3), served_version)
        status = self._ask(entry, older_version)
        same = self._lifetime(entry) == lifetime
        went_back = same and status == 200
        self.results.check(
            "no instance goes back", not went_back, (entry, served_version, older_version)
        )

    def serves(self, entry: str, version: int) -> bool:
        """Return whether an entry instance serves the route that only this version has."""
        lifetime = self._lifetime(entry)
        if self._ask(entry, version) != 200 or self._lifetime(entry) != lifetime:
            return False
        self.served_versions[lifetime] = max(self.served_versions.get(lifetime, 0), version)
        return True

    def _lifetime(self, entry: str) -> tuple[str, int]:
        child = self.environment.fleet.processes[entry].child
        assert child is not None
        return entry, child.pid

    def _ask(self, entry: str, version: int) -> int:
        address = (self.environment.fleet.ip(entry), self.environment.fleet.front_port)
        request_id = f"probe-{next(self.numbers)}"
        self.environment.requests_sent.append((time.monotonic(), LOOKUP))
        request = request_bytes(f"{marker_prefix(version)}x", **{"Host": HOST, ID: request_id})
        try:
            with gevent.socket.create_connection(address, CALL_TIMEOUT_S) as sock:
                sock.settimeout(CALL_TIMEOUT_S)
                sock.sendall(request)
                return read_answer(sock).status
        except OSError:
            return 0

    def _repeat(self, action: Callable[[], object]) -> None:
        while True:
            started = time.monotonic()
            action()
            gevent.sleep(max(0.0, started + self.rng.uniform(*INTERVAL_RANGE_S) - time.monotonic()))
