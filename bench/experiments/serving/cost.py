"""The CPU cost of the tier compared with a bare fan-out."""

import dataclasses
from collections.abc import Mapping, Sequence

from bench.experiments.arm import Arm
from bench.experiments.context import Context
from bench.experiments.experiment import Experiment
from bench.experiments.figures import Figures, number
from bench.experiments.serving.arm_deployment import deployed_arm
from bench.experiments.serving.cost_rounds import CostRounds
from bench.experiments.serving.cpu_use import CpuUse
from bench.experiments.serving.load_totals import added_load_ratio, upstream_totals
from bench.experiments.serving.serving_arm import ServingArm, arms_without
from bench.experiments.serving.serving_deployment import ServingDeployment
from bench.experiments.serving.serving_run import load_figures, serving_plan, settings_of, warm_up
from bench.experiments.serving.workload import Workload
from bench.experiments.target import Target, at_most

FULL = Workload(
    load_factor=0.25, duration_s=20.0, warm_up_s=3.0, median_ms=20.0, deadline_ms=1_000, entries=1
)
SHORT = dataclasses.replace(FULL, duration_s=3.2, warm_up_s=0.8)
MAX_COST_RATIO = 1.5
SWITCHES = ("hedging", "retries", "limits", "ejection", "shares")
ROUNDS = 4


def _arm(context: Context, arm: ServingArm) -> Arm:
    workload = SHORT if context.short else FULL

    def run(deployment: ServingDeployment) -> Figures:
        warm_up(context, workload, deployment)
        rounds = CostRounds(context, workload, deployment)
        before, cpu = deployment.counters(), CpuUse(deployment)
        rounds.run(ROUNDS)
        figures: Figures = {**load_figures(rounds.records), **cpu.figures()}
        totals = upstream_totals(before, deployment.counters())
        arrived = totals["arrived"] - rounds.bare_sub_requests
        figures["added_load_ratio"] = added_load_ratio(arrived, rounds.records)
        figures.update(rounds.figures())
        figures["settings"] = settings_of(arm, workload)
        return figures

    return deployed_arm(context, arm, lambda: serving_plan(context, arm, workload), run)


def _arms(context: Context) -> Sequence[Arm]:
    return [_arm(context, arm) for arm in arms_without(*SWITCHES)]


def _targets(arms: Mapping[str, Figures]) -> Sequence[Target]:
    ratio = number(arms["tier"], "cost_ratio")
    return [at_most("CPU per sub-request of the entry over bare fan-out", ratio, MAX_COST_RATIO)]


EXPERIMENT = Experiment(
    "cost", "processor time of one entry per sub-request and per query", _arms, _targets
)
