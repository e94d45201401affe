"""The time until a deployment has recovered after all instances were killed."""

import time
from collections.abc import Mapping, Sequence
from functools import partial

from bench import deployment_files
from bench.deployment import Deployment, running_deployment
from bench.experiments.arm import Arm
from bench.experiments.context import Context
from bench.experiments.experiment import Experiment
from bench.experiments.figures import Figures, number
from bench.experiments.target import Target, at_most
from bench.plan import GroupPlan
from bench.plan_builder import build_plan

GROUP = GroupPlan("comptoir", 10, 2)
NOTE_COUNTS = (100, 300, 1000)
NOTE_COUNTS_SHORT = (50, 150)
MAX_READY_S = 30.0


def _run(context: Context, notes: int) -> Figures:
    plan = build_plan((GROUP,), controls=3, entries=2)
    with running_deployment(plan, context.folder / f"notes-{notes}") as deployment:
        leader = deployment.leader()
        started = time.monotonic()
        for note in range(2, notes + 1):
            answer = deployment.apply(deployment_files.target_change_note(note, 100 + note), leader)
            assert answer.status == 200, answer
        applied_s = time.monotonic() - started
        before = deployment.operator(leader).get("/v1/status").body["digest"]
        for name in deployment.instances:
            deployment.processes[name].kill()
        folder_bytes = _folder_bytes(deployment, leader)
        started = time.monotonic()
        for name in deployment.instances:
            deployment.start_instance(name)
        equal_s = _wait_digest(deployment, before, started)
        for entry in plan.entries:
            deployment.wait_ready(entry.name)
        ready_s = time.monotonic() - started
    return {
        "notes": notes,
        "notes_per_s": round(notes / applied_s, 1),
        "equal_digests_s": round(equal_s, 2),
        "ready_s": round(ready_s, 2),
        "folder_bytes": folder_bytes,
        "folder_bytes_per_note": round(folder_bytes / notes, 1),
    }


def _wait_digest(deployment: Deployment, digest: str, started: float) -> float:
    for control in deployment.plan.controls:
        probe = partial(_has_digest, deployment, control.name, digest)
        deployment.wait_until(probe, f"the digest at {control.name}")
    return time.monotonic() - started


def _has_digest(deployment: Deployment, control: str, digest: str) -> bool | None:
    current_digest = deployment.operator(control, 1.0).get("/v1/status").body["digest"]
    return True if current_digest == digest else None


def _folder_bytes(deployment: Deployment, control: str) -> int:
    folder = deployment.folder / f"data-{control}"
    return sum(path.stat().st_size for path in folder.rglob("*") if path.is_file())


def _arm(context: Context, notes: int) -> Arm:
    return Arm(f"notes-{notes}", lambda: _run(context, notes))


def _arms(context: Context) -> Sequence[Arm]:
    return [_arm(context, notes) for notes in (NOTE_COUNTS_SHORT if context.short else NOTE_COUNTS)]


def _targets(arms: Mapping[str, Figures]) -> Sequence[Target]:
    return [
        at_most(f"seconds until ready, {name}", number(figures, "ready_s"), MAX_READY_S)
        for name, figures in arms.items()
    ]


EXPERIMENT = Experiment(
    "recovery", "kill everything after many notes, start again", _arms, _targets
)
