"""Checks of an old build in fleets that serve the routes of a plan."""

import functools
import json
import pathlib
import random

import gevent
from tests.daemon.routed.common import ID, Answer, read_answer, request_bytes
from tests.fleet.loopback_fleet import METRICS_PORT, LoopbackFleet, wait_until
from tests.platform.test_plan_codec import DOCUMENT, GATHER_ROUTE, LOOKUP_ROUTE, SERVICE
from tests.platform.test_upstream_source import VALID_ENTRY
from tests.soak import const as soak_const
from tests.soak.shard_records import shard_records, top_records
from tests.soak.soak_execution import SoakExecution
from tests.soak.upstream import SoakUpstream

from bench.build import Build
from bench.mixed_fleet import MixedFleet

HOST = "one.example"
CORES = ("core-1", "core-2", "core-3")
FRONTS = ("front-1", "front-2", "front-3", "front-4")
SHARDS = ("shard-0", "shard-1", "shard-2", "shard-3")
LOOKUP_SERVICE = "lookups"
REQUESTS_PER_ENTRY = 20
# Too few for four entry instances to share, so that the shards get owners.
FEW_CONNECTIONS = 4


def check_routed(old: Build, new: Build, folder: pathlib.Path, cores: tuple[int, int, int]) -> None:
    """Serve routes with instances of both builds before and after a change of leader.

    `cores` are the builds of the core instances, 0 for the old and 1 for the new.
    """
    builds_by_number = (old, new)
    builds = {name: builds_by_number[number] for name, number in zip(CORES, cores, strict=True)}
    builds |= {name: builds_by_number[at % 2] for at, name in enumerate(FRONTS)}
    fleet = MixedFleet(folder, builds)
    runs: list[SoakExecution] = []
    upstreams = [
        SoakUpstream(f"i-{service}-{copy}", service, 0, random.Random(service), runs)
        for service in (LOOKUP_SERVICE, *SHARDS)
        for copy in range(2)
    ]
    try:
        _list_upstreams(fleet, upstreams)
        fleet.start(*CORES)
        wait_until("the first plan", lambda: fleet.replace_plan(CORES[0], _document(4)) == 200)
        fleet.start(*FRONTS)
        for name in FRONTS:
            wait_until(f"{name} to be ready", functools.partial(fleet.is_ready, name))
        wait_until("all instances to be known", lambda: _shares_known(fleet))
        _search_everywhere(fleet, "before")
        leader = fleet.newest_leader(CORES)
        fleet.processes[leader].kill()
        others = [name for name in CORES if name != leader]
        wait_until("plan 6", lambda: fleet.replace_plan(others[0], _document(6)) == 200)
        for name in FRONTS:
            wait_until(f"plan 6 at {name}", functools.partial(fleet.is_plan_applied, name, 6))
        fleet.start(leader, bootstrap=False)
        wait_until(f"plan 6 at {leader}", lambda: fleet.read_plan(leader) == (200, _document(6)))
        _search_everywhere(fleet, "after")
        unresponsive = sum(len(fleet.events(name, "owner-silent")) for name in FRONTS)
        assert unresponsive == 0, f"{unresponsive} owners did not answer"
        for name in FRONTS:
            fleet.processes[name].terminate()
        codes = {name: fleet.processes[name].wait(30.0) for name in FRONTS}
        assert set(codes.values()) == {0}, f"exit codes {codes}"
    finally:
        fleet.close()
        for upstream in upstreams:
            upstream.server.stop()


def _document(version: int) -> bytes:
    lookup = {**LOOKUP_ROUTE, "name": "lookup", "pathPrefix": "/a/", "service": LOOKUP_SERVICE}
    search = {**GATHER_ROUTE, "name": "search", "pathPrefix": "/b/", "gather": list(SHARDS)}
    search |= {"topK": soak_const.TOP, "minShare": 0.5}
    services = [
        {"name": name, **SERVICE, "maxConns": FEW_CONNECTIONS} for name in (LOOKUP_SERVICE, *SHARDS)
    ]
    return json.dumps(
        {**DOCUMENT, "version": version, "routes": [lookup, search], "services": services}
    ).encode()


def _list_upstreams(fleet: LoopbackFleet, upstreams: list[SoakUpstream]) -> None:
    entries = [
        {
            **VALID_ENTRY,
            "id": item.name,
            "service": item.service,
            "address": f"127.0.0.1:{item.server.server_port}",
            "maxConcurrency": soak_const.SLOTS,
        }
        for item in upstreams
    ]
    fleet.platform.serve("", entries)


def _shares_known(fleet: MixedFleet) -> bool:
    """Return whether every entry instance shares limits with all of the entry instances."""
    wanted = f"spindle_entry_instances {float(len(FRONTS))}".encode()
    pages = [fleet.call("GET", fleet.ip(name), METRICS_PORT, "/metrics")[1] for name in FRONTS]
    return all(wanted in page.splitlines() for page in pages)


def _search_everywhere(fleet: MixedFleet, label: str) -> None:
    for name in FRONTS:
        for number in range(REQUESTS_PER_ENTRY):
            target = f"/a/{label}-{number}"
            _check_answer(_ask(fleet, name, target), shard_records(LOOKUP_SERVICE, target))
            target = f"/b/{label}-{number}"
            _check_answer(_ask(fleet, name, target), top_records(SHARDS, target))


def _check_answer(answer: Answer, body: bytes) -> None:
    assert answer.body == body, f"status {answer.status}, {answer.headers}: {answer.body[:200]!r}"


def _ask(fleet: LoopbackFleet, name: str, target: str) -> Answer:
    with gevent.socket.create_connection((fleet.ip(name), fleet.front_port), 2.0) as sock:
        sock.settimeout(5.0)
        request_id = f"{name}{target.replace('/', '-')}"
        sock.sendall(request_bytes(target, "GET", b"", **{"Host": HOST, ID: request_id}))
        return read_answer(sock)
