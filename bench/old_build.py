"""Checks that this tree is compatible with an earlier revision: `bench.old_build REVISION`.

The revision (the old build) is exported into a temporary folder and run in the environment of
this tree (the new build). Each check prints one line; the exit code is 1 if any check failed.

- settings: the new build loads the example settings of the old one.
- data folders: control instances of the new build start with the data folders of the old one
  and have the same digest, notes and day's page.
- mixed: control and entry instances of both builds serve, agree on notes, transfer leadership
  and answer the operator commands of both builds.
- routed: instances of both builds serve routes of a plan, with shards that have owners, before
  and after a change of leader.
"""

import contextlib
import functools
import heapq
import json
import pathlib
import random
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from typing import Any

import gevent
import msgspec
import typer
from tests.daemon.routed.common import ID, Answer, read_answer, request_bytes
from tests.fleet.loopback_fleet import LoopbackFleet, wait_until
from tests.platform.test_plan_codec import DOCUMENT, GATHER_ROUTE, LOOKUP_ROUTE, SERVICE
from tests.platform.test_upstream_source import VALID_ENTRY
from tests.soak import const as soak_const
from tests.soak.shard_records import shard_records
from tests.soak.soak_execution import SoakExecution
from tests.soak.upstream import SoakUpstream

from bench import deployment_files
from bench.build import ROOT, Build, export_build
from bench.caller import Caller
from bench.load.request_id import create_request_id
from bench.mixed_deployment import MixedDeployment
from bench.mixed_fleet import MixedFleet
from bench.plan import GroupPlan
from bench.plan_builder import build_plan
from spindle_decisions.routing.records import RECORD_BYTES
from spindle_decisions.util.units import MS_PER_S

QUERIES = "comptoir"
RUNS = "reservations"
CONTROLS = ("control-1", "control-2", "control-3")
ENTRIES = ("entry-1", "entry-2")
STORED_NOTES = 60
REQUESTS_PER_ENTRY = 20
HOST = "one.example"
CORES = ("core-1", "core-2", "core-3")
FRONTS = ("front-1", "front-2", "front-3", "front-4")
SHARDS = ("shard-0", "shard-1", "shard-2", "shard-3")
LOOKUP_SERVICE = "lookups"
METRICS_PORT = 9464
# Too few for four entry instances to share, so that the shards get owners.
FEW_CONNECTIONS = 4
# Commands whose output must be the same with either build.
STABLE_COMMANDS = (("--json", "notes"), ("--json", "members"), ("--json", "show", "1"))
OTHER_COMMANDS = ("status", "instances", "timeline", "page")


def check_settings(old: Build, new: Build, folder: pathlib.Path) -> None:
    """Check that both builds load the example settings of the old build."""
    (folder / "key").write_bytes(b"k" * 32)
    for path in sorted((old.root / "examples" / "settings").rglob("*.ini")):
        text = path.read_text().splitlines()
        lines = [
            f"key-file = {folder / 'key'}" if line.startswith("key-file") else line for line in text
        ]
        copy = folder / path.name
        copy.write_text("\n".join(lines) + "\n")
        for build in (old, new):
            done = build.run("spindle_daemon", "--config", str(copy), "--check")
            assert done.returncode == 0, f"{path.name} by {build.name}: {done.stderr}"


def check_data_folders(old: Build, new: Build, folder: pathlib.Path) -> None:
    """Store data with the old build, restart with the new one and compare the data read."""
    deployment = _deployment(folder, {}, new)
    deployment.builds = dict.fromkeys((*CONTROLS, *ENTRIES), old)
    with _killed_at_end(deployment):
        deployment.start()
        for number in range(2, STORED_NOTES + 1):
            _apply(deployment, number, deployment.leader())
        _send_requests(deployment)
        assert set(deployment.stop_named(list(ENTRIES)).values()) == {0}
        before = _read_state(deployment, old)
        deployment.stop_named(list(CONTROLS))
        deployment.builds = dict.fromkeys((*CONTROLS, *ENTRIES), new)
        for name in CONTROLS:
            deployment.start_instance(name)
        deployment.wait_until(lambda: deployment.leader() or None, "a leader of the new build")
        for build in (old, new):
            after = _read_state(deployment, build)
            for what, value in before.items():
                assert after[what] == value, f"{what} by {build.name}: {after[what]}, was {value}"
        for name in ENTRIES:
            deployment.start_instance(name)
        for name in ENTRIES:
            deployment.wait_ready(name)
        _send_requests(deployment)
        _apply(deployment, STORED_NOTES + 1, deployment.leader())


def check_mixed(
    old: Build, new: Build, folder: pathlib.Path, controls: tuple[int, int, int], entry: int
) -> None:
    """Run a deployment of both builds; `controls` and `entry` are 0 for the old and 1 for the new.

    `controls` are the builds of the control instances, `entry` is that of entry-1; entry-2 runs
    the other one.
    """
    builds_by_number = (old, new)
    builds = {
        name: builds_by_number[number] for name, number in zip(CONTROLS, controls, strict=True)
    }
    builds |= {"entry-1": builds_by_number[entry], "entry-2": builds_by_number[1 - entry]}
    deployment = _deployment(folder, builds, new)
    with _killed_at_end(deployment):
        deployment.start()
        _send_requests(deployment)
        _check_same_outcome(deployment)
        for at, name in enumerate(CONTROLS):
            _apply(deployment, 2 + at, name)
        _wait_in_force(deployment, 4)
        _check_commands(deployment, builds_by_number)
        first = deployment.leader()
        deployment.processes[first].terminate()
        deployment.processes[first].wait(30.0)
        others = [name for name in CONTROLS if name != first]
        deployment.wait_until(lambda: deployment.leader() or None, "another leader")
        _apply(deployment, 5, others[0])
        deployment.start_instance(first)
        _wait_in_force(deployment, 5)
        _wait_equal_digests(deployment)
        _send_requests(deployment)
        for name, counters in deployment.counters().items():
            assert counters.connections_refused == 0, f"{name} refused connections"
        codes = deployment.stop_named(list(ENTRIES))
        assert set(codes.values()) == {0}, f"exit codes {codes}"
        _check_page(deployment, builds_by_number)


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
        leader = _routed_leader(fleet)
        fleet.processes[leader].kill()
        others = [name for name in CORES if name != leader]
        wait_until("plan 6", lambda: fleet.replace_plan(others[0], _document(6)) == 200)
        for name in FRONTS:
            wait_until(f"plan 6 at {name}", functools.partial(_in_force, fleet, name, 6))
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


def _deployment(folder: pathlib.Path, builds: dict[str, Build], own: Build) -> MixedDeployment:
    plan = build_plan(
        (GroupPlan(QUERIES, 3, 2), GroupPlan(RUNS, 1, 2, kind="request")),
        controls=len(CONTROLS),
        entries=len(ENTRIES),
        data_centers=("rennes-a",),
        control_settings=(("snapshot-every", "20"),),
    )
    return MixedDeployment(plan, folder, builds, own)


@contextlib.contextmanager
def _killed_at_end(deployment: MixedDeployment) -> Iterator[None]:
    try:
        yield
    finally:
        deployment.kill_all()


def _apply(deployment: MixedDeployment, number: int, control: str) -> None:
    note = deployment_files.target_change_note(number, 100 + number)

    def accepted() -> bool | None:
        return True if deployment.apply(note, control).status == 200 else None

    deployment.wait_until(accepted, f"note {number} to be accepted by {control}")


def _send_requests(deployment: MixedDeployment) -> None:
    rng = random.SystemRandom()
    for entry in deployment.plan.entries:
        caller = Caller(entry.entry_port)
        for number in range(REQUESTS_PER_ENTRY):
            answer = caller.query(QUERIES)
            assert (answer.status, answer.body["missing"]) == (200, []), f"{entry.name}: {answer}"
            request_id = create_request_id(int(time.time() * MS_PER_S), rng)
            ran = caller.run(RUNS, f"key-{number}", request_id)
            assert ran.status == 200, f"{entry.name}: {ran}"


def _check_same_outcome(deployment: MixedDeployment) -> None:
    """Send one request through both entry instances; both must return the same outcome."""
    request_id = create_request_id(int(time.time() * MS_PER_S), random.SystemRandom())
    answers = [
        Caller(entry.entry_port).run(RUNS, "key-once", request_id, "once").body
        for entry in deployment.plan.entries
    ]
    outcomes = [answer["outcome"] for answer in answers]
    assert outcomes[0] == outcomes[1], f"different outcomes of one request: {answers}"


def _read_state(deployment: MixedDeployment, build: Build) -> dict[str, Any]:
    status = {name: deployment.wait_answer(name, "/v1/status").body["digest"] for name in CONTROLS}
    state: dict[str, Any] = {"digests": status}
    for command in STABLE_COMMANDS:
        state[" ".join(command)] = _output(deployment, build, *command)
    state["page"] = _page(deployment, build)
    return state


def _page(deployment: MixedDeployment, build: Build) -> Any:
    page = json.loads(_output(deployment, build, "page", "--format", "json", "--timezone", "UTC"))
    # The other fields depend on the time of the request: the window ends then, and its last
    # minutes may be missing.
    return {"groups": page["groups"], "gaps": page["gaps"], "problems": page["problems"]}


def _output(deployment: MixedDeployment, build: Build, *command: str) -> str:
    done = deployment.spindlectl(build, *command)
    assert done.returncode == 0, f"{command} by {build.name}: {done.stdout}{done.stderr}"
    return done.stdout


def _check_commands(deployment: MixedDeployment, builds: tuple[Build, Build]) -> None:
    old, new = builds
    for command in STABLE_COMMANDS:
        outputs = _output(deployment, old, *command), _output(deployment, new, *command)
        assert outputs[0] == outputs[1], f"{command}: different outputs: {outputs}"
    for name in OTHER_COMMANDS:
        for build in builds:
            assert _output(deployment, build, name), f"{name} by {build.name}: no output"


def _check_page(deployment: MixedDeployment, builds: tuple[Build, Build]) -> None:
    pages = [_page(deployment, build) for build in builds]
    assert pages[0] == pages[1], f"different pages of one day: {pages}"
    runs = next(group for group in pages[0]["groups"] if group["group"] == RUNS)
    assert runs["answered"] + runs["late"] > 0, f"no runs on the page: {runs}"


def _wait_in_force(deployment: MixedDeployment, version: int) -> None:
    def confirmed() -> bool | None:
        for control in CONTROLS:
            rows = deployment.operator(control, 1.0).get("/v1/reports").body
            versions = {row["live"]["instance"]: row["config_version"] for row in rows}
            if all(versions.get(name, 0) >= version for name in ENTRIES):
                return True
        return None

    deployment.wait_until(confirmed, f"version {version} to be in force")


def _wait_equal_digests(deployment: MixedDeployment) -> None:
    def equal() -> bool | None:
        rows = [deployment.operator(name, 1.0).get("/v1/status").body for name in CONTROLS]
        return True if len({(row["version"], row["digest"]) for row in rows}) == 1 else None

    deployment.wait_until(equal, "equal digests at all control instances")


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


def _in_force(fleet: LoopbackFleet, name: str, version: int) -> bool:
    return any(row["version"] == version for row in fleet.events(name, "plan"))


def _routed_leader(fleet: LoopbackFleet) -> str:
    rows = [
        (row["term"], name)
        for name in CORES
        for row in fleet.events(name, "leader-elected")
        if row["peer"] == name
    ]
    return max(rows)[1]


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
            _check_answer(_ask(fleet, name, target), _top_records(target))


def _check_answer(answer: Answer, body: bytes) -> None:
    assert answer.body == body, f"status {answer.status}, {answer.headers}: {answer.body[:200]!r}"


def _top_records(target: str) -> bytes:
    records = [
        body[at : at + RECORD_BYTES]
        for body in (shard_records(service, target) for service in SHARDS)
        for at in range(0, len(body), RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(soak_const.TOP, records))


def _ask(fleet: LoopbackFleet, name: str, target: str) -> Answer:
    with gevent.socket.create_connection((fleet.ip(name), fleet.front_port), 2.0) as sock:
        sock.settimeout(5.0)
        request_id = f"{name}{target.replace('/', '-')}"
        sock.sendall(request_bytes(target, "GET", b"", **{"Host": HOST, ID: request_id}))
        return read_answer(sock)


Check = Callable[[Build, Build, pathlib.Path], None]
CHECKS: tuple[tuple[str, Check], ...] = (
    ("settings", check_settings),
    ("data folders", check_data_folders),
    ("mixed, old controls", lambda old, new, at: check_mixed(old, new, at, (0, 0, 0), 1)),
    ("mixed, new controls", lambda old, new, at: check_mixed(old, new, at, (1, 1, 1), 0)),
    ("mixed, mostly old controls", lambda old, new, at: check_mixed(old, new, at, (1, 0, 0), 0)),
    ("mixed, mostly new controls", lambda old, new, at: check_mixed(old, new, at, (0, 1, 1), 1)),
    ("routed, old controls", lambda old, new, at: check_routed(old, new, at, (0, 0, 0))),
    ("routed, new controls", lambda old, new, at: check_routed(old, new, at, (1, 1, 1))),
    ("routed, mixed controls", lambda old, new, at: check_routed(old, new, at, (0, 1, 0))),
)


def main(revision: str, only: str = "") -> None:
    """Run the checks against a revision; `only` selects those whose name starts with it."""
    failed = 0
    with tempfile.TemporaryDirectory(prefix="spindle-old-build-") as name:
        folder = pathlib.Path(name)
        old, new = export_build(revision, folder), Build("this tree", ROOT)
        chosen = [item for item in CHECKS if item[0].startswith(only)]
        for number, (title, check) in enumerate(chosen):
            check_folder = folder / f"check-{number}"
            check_folder.mkdir()
            started = time.monotonic()
            try:
                check(old, new, check_folder)
                verdict = "ok"
            except (AssertionError, TimeoutError, OSError, msgspec.DecodeError) as err:
                failed += 1
                verdict = f"FAILED: {type(err).__name__}: {err}"
            print(f"{title}: {verdict} ({time.monotonic() - started:.0f} s)", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    typer.run(main)
