"""The goodput at an offered load of twice the capacity."""

import dataclasses
from collections.abc import Mapping, Sequence

from bench.experiments.arm import Arm
from bench.experiments.context import Context
from bench.experiments.experiment import Experiment
from bench.experiments.figures import Figures, number
from bench.experiments.serving.arm_deployment import deployed_arm
from bench.experiments.serving.not_run_check import count_false_not_run
from bench.experiments.serving.serving_arm import ServingArm, arms_without
from bench.experiments.serving.serving_deployment import ServingDeployment
from bench.experiments.serving.serving_run import measure, serving_plan, warm_up
from bench.experiments.serving.workload import Workload
from bench.experiments.target import Target, at_least, at_most

FULL = Workload(load_factor=2.0, duration_s=30.0, warm_up_s=5.0, median_ms=80.0, deadline_ms=1_000)
SHORT = dataclasses.replace(FULL, duration_s=5.0, warm_up_s=1.5)
MIN_GOODPUT_RATIO = 0.9
MAX_ADDED_LOAD_RATIO = 0.05
MAX_REFUSAL_P99_MS = 50.0


def _arm(context: Context, arm: ServingArm) -> Arm:
    workload = SHORT if context.short else FULL

    def run(deployment: ServingDeployment) -> Figures:
        warm_up(context, workload, deployment)
        figures, run = measure(context, arm, workload, deployment)
        served_per_s = sum(item.complete for item in run.records) / workload.duration_s
        figures["goodput_queries_per_s"] = round(served_per_s, 2)
        figures["goodput_ratio"] = round(served_per_s / workload.capacity_per_s, 4)
        figures["not_run_that_ran"] = count_false_not_run(run.records, deployment.executions())
        return figures

    return deployed_arm(context, arm, lambda: serving_plan(context, arm, workload), run)


def _arms(context: Context) -> Sequence[Arm]:
    return [_arm(context, arm) for arm in arms_without("limits")]


def _targets(arms: Mapping[str, Figures]) -> Sequence[Target]:
    tier = arms["tier"]
    return [
        at_least("goodput of tier over capacity", number(tier, "goodput_ratio"), MIN_GOODPUT_RATIO),
        at_most("added load of tier", number(tier, "added_load_ratio"), MAX_ADDED_LOAD_RATIO),
        at_most("p99 of refusals, ms", number(tier, "refusal_p99_ms"), MAX_REFUSAL_P99_MS),
        at_most("not run that ran", number(tier, "not_run_that_ran"), 0),
        at_most("wrong answers of tier", number(tier, "wrong"), 0),
    ]


EXPERIMENT = Experiment("overload", "goodput at twice the slots' capacity", _arms, _targets)
