"""Tests that answers stay complete and unmixed during version switches and repartitioning."""

import dataclasses
from collections.abc import Mapping, Sequence

import gevent

from bench import deployment_files
from bench.experiments.arm import Arm
from bench.experiments.context import Context
from bench.experiments.experiment import Experiment
from bench.experiments.figures import Figures, number
from bench.experiments.serving import sizes
from bench.experiments.serving.arm_deployment import deployed_arm
from bench.experiments.serving.serving_arm import ServingArm, arms_without
from bench.experiments.serving.serving_deployment import ServingDeployment
from bench.experiments.serving.serving_run import measure, seeded, warm_up
from bench.experiments.serving.workload import Workload
from bench.experiments.target import Target, at_least, at_most
from bench.load.answer_check import ServicesByEpoch
from bench.plan import DeploymentPlan, GroupPlan
from bench.plan_builder import build_plan
from bench.ports import LOOPBACK
from spindle_devkit.upstream.behavior_change import BehaviorChange

MOVED_SERVICES = 2
ALL_SERVICES = sizes.SERVICES + MOVED_SERVICES
RETIRED = [sizes.service_name(number) for number in range(MOVED_SERVICES)]
KEPT = [sizes.service_name(number) for number in range(MOVED_SERVICES, sizes.SERVICES)]
NEW = [sizes.service_name(number) for number in range(sizes.SERVICES, ALL_SERVICES)]
SERVICES: ServicesByEpoch = {"1": frozenset(RETIRED + KEPT), "2": frozenset(KEPT + NEW)}

OLD, NEXT, REPARTITIONED = "1.1", "1.2", "2.1"
PREPARE_NOTE, SWITCH_NOTE = 2, 3
MIN_FULL_COVERAGE = 0.99
OVERLAP_STEPS = 2

FULL = Workload(load_factor=0.4, duration_s=40.0, warm_up_s=4.0, median_ms=40.0, deadline_ms=2_000)
SHORT = dataclasses.replace(FULL, duration_s=8.0, warm_up_s=1.0)


def _plan(context: Context, arm: ServingArm, workload: Workload) -> DeploymentPlan:
    group = GroupPlan(sizes.GROUP, ALL_SERVICES, sizes.REPLICAS)
    plan = build_plan(
        (group,),
        entries=workload.entries,
        data_centers=("rennes-a",),
        upstream_settings=workload.upstream_settings(),
        standin_processes=sizes.STANDIN_PROCESSES,
        serving_settings=arm.serving,
    )
    return seeded(plan, context.seed)


def _prepare(deployment: ServingDeployment) -> None:
    """Apply a note that retires and adds the moved services with epoch 2."""
    sections = {"note": deployment_files.note_header(PREPARE_NOTE)}
    sections.update({f"changed service {name}": {"last-epoch": "1"} for name in RETIRED})
    for name in NEW:
        sections[f"added service {name}"] = {"group": sizes.GROUP, "first-epoch": "2"}
    for item in deployment.upstreams:
        if item.service in NEW:
            sections[f"added upstream {item.name}"] = {
                "service": item.service,
                "data-center": item.data_center,
                "address": f"{LOOPBACK}:{item.port}",
            }
    answer = deployment.apply(deployment_files.render_ini(sections))
    assert answer.status == 200, answer
    for name in _upstreams(deployment, NEW):
        deployment.change(BehaviorChange(upstream=name, snapshots=(REPARTITIONED,)))


def _upstreams(deployment: ServingDeployment, services: Sequence[str]) -> list[str]:
    return [item.name for item in deployment.upstreams if item.service in services]


class _SnapshotSwitch:
    """Switches the upstreams to new snapshots one after the other."""

    def __init__(self, deployment: ServingDeployment, duration_s: float) -> None:
        self.deployment = deployment
        self.step_s = duration_s / 10

    def run(self) -> None:
        """Switch the index version, then the partition epoch."""
        kept, retired = (_upstreams(self.deployment, names) for names in (KEPT, RETIRED))
        gevent.sleep(self.step_s)
        self._roll_out(kept + retired, (OLD, NEXT))
        gevent.sleep(self.step_s)
        self._roll_out(kept + retired, (NEXT,))
        gevent.sleep(self.step_s)
        self._roll_out(kept, (NEXT, REPARTITIONED))
        self._repartition()
        gevent.sleep(self.step_s * OVERLAP_STEPS)
        self._roll_out(kept, (REPARTITIONED,))

    def _roll_out(self, names: Sequence[str], snapshots: tuple[str, ...]) -> None:
        for name in names:
            self.deployment.change(BehaviorChange(upstream=name, snapshots=snapshots))
            gevent.sleep(self.step_s / len(names))

    def _repartition(self) -> None:
        sections = {
            "note": deployment_files.note_header(SWITCH_NOTE),
            f"changed group {sizes.GROUP}": {"epoch": "2"},
        }
        answer = self.deployment.apply(deployment_files.render_ini(sections))
        assert answer.status == 200, answer


def _arm(context: Context, arm: ServingArm) -> Arm:
    workload = SHORT if context.short else FULL

    def run(deployment: ServingDeployment) -> Figures:
        _prepare(deployment)
        warm_up(context, workload, deployment)
        switch = gevent.spawn(_SnapshotSwitch(deployment, workload.duration_s).run)
        figures, run = measure(context, arm, workload, deployment, SERVICES)
        switch.get()
        seen = sorted({item.snapshot for item in run.records if item.snapshot})
        figures["snapshots_seen"] = ", ".join(seen)
        return figures

    return deployed_arm(context, arm, lambda: _plan(context, arm, workload), run, sizes.SERVICES)


def _arms(context: Context) -> Sequence[Arm]:
    return [_arm(context, arm) for arm in arms_without("snapshot-pinning")]


def _targets(arms: Mapping[str, Figures]) -> Sequence[Target]:
    tier = arms["tier"]
    epochs = {word.partition(".")[0] for word in str(tier["snapshots_seen"]).split(", ")}
    return [
        at_most("mixed, foreign or miscounted answers", number(tier, "wrong"), 0),
        at_least("full coverage of tier", number(tier, "full_coverage_ratio"), MIN_FULL_COVERAGE),
        at_least("partition epochs that were served", len(epochs), len(SERVICES)),
    ]


EXPERIMENT = Experiment(
    "snapshot-switch", "index version switch and repartition during traffic", _arms, _targets
)
