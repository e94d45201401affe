"""Checks of an old build in deployments of our own protocol."""

import contextlib
import json
import pathlib
import random
import time
from collections.abc import Iterator
from typing import Any

from bench import deployment_files
from bench.build import Build
from bench.caller import Caller, CallerAnswer
from bench.load.request_id import create_request_id
from bench.mixed_deployment import MixedDeployment
from bench.plan import GroupPlan
from bench.plan_builder import build_plan
from spindle_decisions.exceptions import OutcomeUnknownError
from spindle_decisions.util.units import MS_PER_S

QUERIES = "comptoir"
RUNS = "reservations"
CONTROLS = ("control-1", "control-2", "control-3")
ENTRIES = ("entry-1", "entry-2")
STORED_NOTES = 60
REQUESTS_PER_ENTRY = 20
# Commands whose output must be the same with either build.
STABLE_COMMANDS = (("--json", "notes"), ("--json", "members"), ("--json", "show", "1"))
OTHER_COMMANDS = ("status", "instances", "timeline", "page")


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
        deployment.wait_versions(4, list(ENTRIES))
        _check_commands(deployment, builds_by_number)
        first = deployment.leader()
        deployment.processes[first].terminate()
        deployment.processes[first].wait(30.0)
        others = [name for name in CONTROLS if name != first]
        deployment.wait_until(lambda: deployment.leader() or None, "another leader")
        _apply(deployment, 5, others[0])
        deployment.start_instance(first)
        deployment.wait_versions(5, list(ENTRIES))
        _wait_equal_digests(deployment)
        _send_requests(deployment)
        for name, counters in deployment.counters().items():
            assert counters.connections_refused == 0, f"{name} refused connections"
        codes = deployment.stop_named(list(ENTRIES))
        assert set(codes.values()) == {0}, f"exit codes {codes}"
        _check_page(deployment, builds_by_number)


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
    deployment.apply_until_accepted(
        deployment_files.target_change_note(number, 100 + number), control
    )


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
    """Send one request through both entry instances; both must return the same outcome.

    An instance answers before the outcome is recorded, so a resend that arrives at once at
    another one may be told that the outcome is unknown. That is the only other answer that
    is true, and it must end; the request must have run once.
    """
    request_id = create_request_id(int(time.time() * MS_PER_S), random.SystemRandom())
    entries = deployment.plan.entries
    first = _run_once(entries[0].entry_port, request_id)
    assert first.status == 200, f"{entries[0].name}: {first}"

    def replayed() -> CallerAnswer | None:
        answer = _run_once(entries[1].entry_port, request_id)
        is_unknown = answer.code == OutcomeUnknownError.code
        assert answer.status == 200 or is_unknown, f"{entries[1].name}: {answer}, was {first}"
        return None if is_unknown else answer

    second = deployment.wait_until(replayed, "the outcome that the other build recorded")
    outcomes = [first.body["outcome"], second.body["outcome"]]
    assert outcomes[0] == outcomes[1], f"different outcomes of one request: {outcomes}"
    runs = [item for item in deployment.executions() if "once" in item.asked and item.started_ms]
    assert len(runs) == 1, f"the request ran {len(runs)} times: {runs}"


def _run_once(port: int, request_id: str) -> CallerAnswer:
    return Caller(port).run(RUNS, "key-once", request_id, "once")


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


def _wait_equal_digests(deployment: MixedDeployment) -> None:
    def equal() -> bool | None:
        rows = [deployment.operator(name, 1.0).get("/v1/status").body for name in CONTROLS]
        return True if len({(row["version"], row["digest"]) for row in rows}) == 1 else None

    deployment.wait_until(equal, "equal digests at all control instances")
