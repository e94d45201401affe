"""How long an operator's release note takes to be in force at every entry."""

import dataclasses
from collections.abc import Mapping, Sequence

import gevent
from hdrh.histogram import HdrHistogram

from bench.deployment import running
from bench.experiments.arm import Arm
from bench.experiments.context import Context
from bench.experiments.control.background_load import BackgroundLoad
from bench.experiments.control.note_timing import apply_and_time
from bench.experiments.experiment import Experiment
from bench.experiments.figures import Figures, number
from bench.experiments.target import Target, at_most
from bench.plan import GroupPlan
from bench.plan_builder import build_plan

DATA_CENTERS = ("rennes-a", "brest-b", "vannes-c", "quimper-d")
GROUP = GroupPlan("comptoir", 10, 2)
NOTES = 60
NOTES_SHORT = 8
KILLS = 5
KILLS_SHORT = 1
LOAD_QUERIES_PER_S = 60.0
BOUND_MS = 5_000.0
BOUND_LEADER_KILL_MS = 10_000.0
HIGHEST_MS = 120_000


@dataclasses.dataclass(frozen=True)
class SpreadArm:
    """Data centres, query load, and whether the leader is killed with each note."""

    name: str
    data_centers: int
    load: float
    kill_leader: bool = False


ARMS = (
    SpreadArm("three-idle", 3, 0.0),
    SpreadArm("three-load", 3, LOAD_QUERIES_PER_S),
    SpreadArm("four-idle", 4, 0.0),
    SpreadArm("four-load", 4, LOAD_QUERIES_PER_S),
    SpreadArm("leader-kill", 3, 0.0, kill_leader=True),
)


def _run(context: Context, arm: SpreadArm) -> Figures:
    places = DATA_CENTERS[: arm.data_centers]
    plan = build_plan((GROUP,), controls=3, entries=len(places), data_centers=places)
    times = HdrHistogram(1, HIGHEST_MS, 3)
    with running(plan, context.folder / arm.name) as deployment:
        controls = [control.name for control in plan.controls]
        with BackgroundLoad(deployment, GROUP.name, arm.load) as load:
            for note in range(_notes(context, arm)):
                killed = deployment.leader() if arm.kill_leader else ""
                if killed:
                    gevent.spawn_later(0.001, deployment.processes[killed].kill)
                times.record_value(max(1, round(apply_and_time(deployment, note + 2, controls))))
                if killed:
                    deployment.start_instance(killed)
                    deployment.wait_answer(killed, "/v1/identity")
                    deployment.wait_until(lambda: deployment.leader() or None, "a leader")
    return {
        "notes": times.get_total_count(),
        "p50_ms": times.get_value_at_percentile(50),
        "p99_ms": times.get_value_at_percentile(99),
        "max_ms": times.get_max_value(),
        "queries_answered": load.answered,
    }


def _notes(context: Context, arm: SpreadArm) -> int:
    if arm.kill_leader:
        return KILLS_SHORT if context.short else KILLS
    return NOTES_SHORT if context.short else NOTES


def _arm(context: Context, arm: SpreadArm) -> Arm:
    return Arm(arm.name, lambda: _run(context, arm))


def _arms(context: Context) -> Sequence[Arm]:
    return [_arm(context, arm) for arm in ARMS]


def _targets(arms: Mapping[str, Figures]) -> Sequence[Target]:
    return [
        at_most(
            f"p99 ms to force everywhere, {arm.name}",
            number(arms[arm.name], "p99_ms"),
            BOUND_LEADER_KILL_MS if arm.kill_leader else BOUND_MS,
        )
        for arm in ARMS
    ]


EXPERIMENT = Experiment(
    "note-spread", "release note accepted to in force at every entry", _arms, _targets
)
