"""The time from an operator's release note until it is in force at every entry."""

import dataclasses
from collections.abc import Mapping, Sequence

import gevent
from hdrh.histogram import HdrHistogram

from bench.deployment import running_deployment
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
NOTE_COUNT = 60
NOTE_COUNT_SHORT = 8
KILL_COUNT = 5
KILL_COUNT_SHORT = 1
LOAD_QUERIES_PER_S = 60.0
MAX_P99_MS = 5_000.0
MAX_P99_LEADER_KILL_MS = 10_000.0
MAX_LATENCY_MS = 120_000


@dataclasses.dataclass(frozen=True)
class PropagationArm:
    """The number of data centres, the queries/s, and whether each note kills the leader."""

    name: str
    data_centers: int
    load: float
    kill_leader: bool = False


ARMS = (
    PropagationArm("three-idle", 3, 0.0),
    PropagationArm("three-load", 3, LOAD_QUERIES_PER_S),
    PropagationArm("four-idle", 4, 0.0),
    PropagationArm("four-load", 4, LOAD_QUERIES_PER_S),
    PropagationArm("leader-kill", 3, 0.0, kill_leader=True),
)


def _run(context: Context, arm: PropagationArm) -> Figures:
    data_centers = DATA_CENTERS[: arm.data_centers]
    plan = build_plan((GROUP,), controls=3, entries=len(data_centers), data_centers=data_centers)
    times = HdrHistogram(1, MAX_LATENCY_MS, 3)
    with running_deployment(plan, context.folder / arm.name) as deployment:
        controls = [control.name for control in plan.controls]
        with BackgroundLoad(deployment, GROUP.name, arm.load) as load:
            for note in range(_note_count(context, arm)):
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


def _note_count(context: Context, arm: PropagationArm) -> int:
    if arm.kill_leader:
        return KILL_COUNT_SHORT if context.short else KILL_COUNT
    return NOTE_COUNT_SHORT if context.short else NOTE_COUNT


def _arm(context: Context, arm: PropagationArm) -> Arm:
    return Arm(arm.name, lambda: _run(context, arm))


def _arms(context: Context) -> Sequence[Arm]:
    return [_arm(context, arm) for arm in ARMS]


def _targets(arms: Mapping[str, Figures]) -> Sequence[Target]:
    return [
        at_most(
            f"p99 ms to force everywhere, {arm.name}",
            number(arms[arm.name], "p99_ms"),
            MAX_P99_LEADER_KILL_MS if arm.kill_leader else MAX_P99_MS,
        )
        for arm in ARMS
    ]


EXPERIMENT = Experiment(
    "note-spread", "release note accepted to in force at every entry", _arms, _targets
)
