"""An in-process entry instance with stand-in upstreams and fakes for control and account."""

import contextlib
import dataclasses
import itertools
import pathlib
import random
import socket
import unittest
from collections.abc import Callable, Iterator
from typing import Any

import gevent
import msgspec
from geventhttpclient import HTTPClient
from prometheus_client import CollectorRegistry

from spindle_daemon.components import entry_http, serving
from spindle_daemon.components.serving.coordinator import ServingCoordinator
from spindle_daemon.core.catalog_updated import CatalogUpdated
from spindle_daemon.core.clock import SystemClock
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.settings.endpoint import Endpoint
from spindle_daemon.settings.entry_settings import EntrySettings
from spindle_daemon.settings.instance_settings import InstanceSettings
from spindle_daemon.settings.mesh_settings import MeshSettings
from spindle_daemon.settings.serving_settings import ServingSettings
from spindle_daemon.settings.settings import Settings
from spindle_decisions.account.query_record import QueryRecord
from spindle_decisions.catalog.catalog import Catalog
from spindle_decisions.catalog.data_center import DataCenter
from spindle_decisions.catalog.group import Group, GroupKind
from spindle_decisions.catalog.index import CatalogIndex
from spindle_decisions.catalog.service import Service
from spindle_decisions.catalog.upstream import Upstream
from spindle_decisions.commands.claim_granted import ClaimGranted
from spindle_decisions.commands.claim_held import ClaimHeld
from spindle_decisions.commands.claim_run import ClaimRun
from spindle_decisions.commands.outcome_recorded import OutcomeRecorded
from spindle_decisions.commands.record_outcome import RecordOutcome
from spindle_decisions.timeline.event_kind import EventKind
from spindle_decisions.wire.propose_reply import ProposeReply
from spindle_devkit.endpoint import Endpoint as DevEndpoint
from spindle_devkit.upstream.served_upstream import ServedUpstream, create_served_upstream
from spindle_devkit.upstream.upstream_settings import UpstreamSettings

DATA_CENTER = "rennes-a"
TIMEOUT_S = 10.0
GROUP = "comptoir"
RUN_GROUP = "reservations"
ENTRY = EntrySettings(Endpoint("127.0.0.1", 1), 4096, 50, 300, 300, 2000, 100)
SERVING = ServingSettings("tier", True, True, True, True, True, True, True)


class FakeCatalog:
    """A catalog source with a catalog set by the test."""

    def __init__(self, catalog: Catalog) -> None:
        self.index = CatalogIndex(catalog)

    def age_s(self) -> float:
        return 0.5


class FakeControl:
    """Keeps claims in memory; calls `before` and `after` around each command."""

    def __init__(self) -> None:
        self.claims: dict[str, ClaimRun] = {}
        self.outcomes: dict[str, RecordOutcome] = {}
        self.before: Callable[[Any], None] = lambda command: None
        self.after: Callable[[Any], None] = lambda command: None

    def propose(self, command: Any, timeout_s: float) -> ProposeReply:
        self.before(command)
        result = self.apply(command)
        self.after(command)
        return ProposeReply("1", result=result)

    def apply(self, command: Any) -> Any:
        if isinstance(command, RecordOutcome):
            if command.ran:
                self.outcomes.setdefault(command.request_id, command)
            elif self.claims.get(command.request_id):
                del self.claims[command.request_id]
            return OutcomeRecorded(command.request_id, True)
        held = self.claims.setdefault(command.request_id, command)
        if held.attempt == command.attempt:
            return ClaimGranted(command.request_id, command.attempt)
        outcome = self.outcomes.get(command.request_id)
        if outcome is None:
            return ClaimHeld(command.request_id, held.instance, False)
        return ClaimHeld(command.request_id, held.instance, True, outcome.status, outcome.body)


class FakeAccount:
    """Keeps what is recorded, in order."""

    def __init__(self) -> None:
        self.arrivals: list[str] = []
        self.records: list[QueryRecord] = []
        self.probes: list[str] = []

    def record_arrival(self, group: str) -> None:
        self.arrivals.append(group)

    def record_finished(self, record: QueryRecord) -> None:
        self.records.append(record)

    def record_probe(self, group: str) -> None:
        self.probes.append(group)


class FakeTimeline:
    """Keeps the events, in order."""

    def __init__(self) -> None:
        self.events: list[tuple[EventKind, str, dict[str, Any]]] = []

    def add(self, kind: EventKind, reason: str = "", **fields: Any) -> None:
        self.events.append((kind, reason, fields))

    def kinds(self) -> list[EventKind]:
        return [kind for kind, _, _ in self.events]


@dataclasses.dataclass
class Answer:
    """The answer that a caller received."""

    status: int
    body: Any
    headers: dict[str, str]


class EntryHarness:
    """An in-process entry instance, with the requests of a caller as methods."""

    def __init__(self, catalog: Catalog, serving_settings: ServingSettings, entry: EntrySettings):
        self.port = free_port()
        settings = Settings(
            instance=InstanceSettings(
                "e1", DATA_CENTER, "entry", pathlib.Path("key"), None, "info"
            ),
            mesh=MeshSettings("tcp://127.0.0.1:1", "tcp://127.0.0.1:1"),
            admin=Endpoint("127.0.0.1", 1),
            controls=(),
            serving=serving_settings,
            entry=dataclasses.replace(entry, listen=Endpoint("127.0.0.1", self.port)),
            control=None,
        )
        self.spindle = Spindle(settings, SystemClock(), random.Random(7), 1)
        self.spindle.catalog = FakeCatalog(catalog)
        self.control = self.spindle.control = FakeControl()
        self.account = self.spindle.account = FakeAccount()
        self.timeline = self.spindle.timeline = FakeTimeline()
        self.spindle.ready = True
        self.registry = CollectorRegistry()
        self.coordinator: ServingCoordinator = serving.setup(self.spindle, self.registry)
        entry_http.setup(self.spindle, self.coordinator)

    def update_catalog(self, catalog: Catalog) -> None:
        """Apply a newer catalog."""
        index = CatalogIndex(catalog)
        self.spindle.catalog.index = index
        self.spindle.bus.fire(CatalogUpdated(index))

    def client(self) -> HTTPClient:
        return HTTPClient(
            "127.0.0.1", self.port, connection_timeout=TIMEOUT_S, network_timeout=TIMEOUT_S
        )

    def post(self, path: str, body: bytes, headers: dict[str, str] | None = None) -> Answer:
        response = self.client().post(path, body=body, headers=headers or {})
        content = response.read()
        sent = {name.lower(): value for name, value in response.headers}
        return Answer(response.status_code, msgspec.json.decode(content) if content else None, sent)

    def get(self, path: str) -> Answer:
        response = self.client().get(path)
        return Answer(response.status_code, msgspec.json.decode(response.read()), {})

    def query(self, **headers: str) -> Answer:
        sent = {"X-Spindle-" + name.replace("_", "-"): value for name, value in headers.items()}
        return self.post(f"/v1/groups/{GROUP}/query", b'{"query":{"set":12}}', sent)

    def run(self, key: str, request_id: str, **headers: str) -> Answer:
        sent = {"X-Spindle-" + name.replace("_", "-"): value for name, value in headers.items()}
        sent["Idempotency-Key"] = request_id
        body = msgspec.json.encode({"key": key, "body": {"set": 12}})
        return self.post(f"/v1/groups/{RUN_GROUP}/run", body, sent)


@dataclasses.dataclass
class ServingTestBed:
    """An entry instance, its stand-in upstreams by name, and its catalog."""

    entry: EntryHarness
    served: dict[str, ServedUpstream]
    catalog: Catalog

    def executions(self, state: str | None = None) -> list[Any]:
        found = [item for served in self.served.values() for item in served.upstream.executions]
        return [item for item in found if state is None or item.state == state]


@contextlib.contextmanager
def serving_test_bed(
    services: int = 3,
    replicas: int = 2,
    group: dict[str, Any] | None = None,
    serving_settings: dict[str, Any] | None = None,
    entry: dict[str, Any] | None = None,
    **upstream: Any,
) -> Iterator[ServingTestBed]:
    """Start an entry with `services` services in `GROUP` and one in `RUN_GROUP`."""
    names = [f"{GROUP}-{number:02}" for number in range(1, services + 1)]
    groups = (
        Group(GROUP, **(group or {})),
        Group(RUN_GROUP, kind=GroupKind.REQUEST),
    )
    catalog_services = [*(Service(name, GROUP) for name in names), Service(RUN_GROUP, RUN_GROUP)]
    served: dict[str, ServedUpstream] = {}
    for service, letter in itertools.product(catalog_services, "abcd"[:replicas]):
        name = f"{service.name}-{letter}"
        served[name] = create_served_upstream(upstream_settings(name, service.name, **upstream))
    upstreams = [
        Upstream(name, item.upstream.settings.service, DATA_CENTER, "127.0.0.1", item.port)
        for name, item in served.items()
    ]
    catalog = Catalog(
        3, (DataCenter(DATA_CENTER),), groups, tuple(catalog_services), tuple(upstreams)
    )
    harness = EntryHarness(
        catalog,
        dataclasses.replace(SERVING, **(serving_settings or {})),
        dataclasses.replace(ENTRY, **(entry or {})),
    )
    try:
        with gevent.Timeout(TIMEOUT_S):
            while not harness.coordinator.prober.has_probed_all():
                gevent.sleep(0.01)
        yield ServingTestBed(harness, served, catalog)
    finally:
        harness.spindle.stop()
        for item in served.values():
            item.refuse()
            item.upstream.reset_connections()


def upstream_settings(name: str, service: str, **changes: Any) -> UpstreamSettings:
    """Return the settings of a fast stand-in without faults, with `changes` applied."""
    values = {
        "name": name,
        "service": service,
        "listen": DevEndpoint("127.0.0.1", 0),
        "slots": 2,
        "connections": 25,
        "queue": 64,
        "connect_ms": 0.0,
        "median_ms": 1.0,
        "sigma": 0.0,
        "straggler_ratio": 0.0,
        "straggler_factor": 20.0,
        "cold_start_s": 0.0,
        "cold_factor": 5.0,
        "snapshots": ("1.1",),
        "rows": 2,
        "seed": 1,
    }
    return UpstreamSettings(**{**values, **changes})


def free_port() -> int:
    """Return a TCP port that is currently free."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def wait_until(case: unittest.TestCase, condition: Callable[[], bool]) -> None:
    """Fail unless the condition becomes true within `TIMEOUT_S`."""
    with gevent.Timeout(TIMEOUT_S, False):
        while not condition():
            gevent.sleep(0.005)
        return
    case.fail(f"the condition did not become true within {TIMEOUT_S} s")
