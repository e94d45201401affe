"""The reduction by the tier of the tail latency that stragglers cause."""

import dataclasses
from collections.abc import Mapping, Sequence

from bench.experiments.arm import Arm
from bench.experiments.context import Context
from bench.experiments.experiment import Experiment
from bench.experiments.figures import Figures, number
from bench.experiments.serving.arm_deployment import deployed_arm
from bench.experiments.serving.serving_arm import ServingArm, arms_without
from bench.experiments.serving.serving_deployment import ServingDeployment
from bench.experiments.serving.serving_run import measure, serving_plan, warm_up
from bench.experiments.serving.workload import Workload
from bench.experiments.target import Target, at_least, at_most

FULL = Workload(
    load_factor=0.5,
    duration_s=40.0,
    warm_up_s=5.0,
    median_ms=40.0,
    straggler_ratio=0.02,
    straggler_factor=20.0,
)
SHORT = dataclasses.replace(FULL, duration_s=5.0, warm_up_s=1.5)
MAX_P99_RATIO = 1 / 3
MAX_ADDED_LOAD_RATIO = 0.10
MIN_FULL_COVERAGE = 0.999


def _arm(context: Context, arm: ServingArm) -> Arm:
    workload = SHORT if context.short else FULL

    def run(deployment: ServingDeployment) -> Figures:
        warm_up(context, workload, deployment)
        return measure(context, arm, workload, deployment)[0]

    return deployed_arm(context, arm, lambda: serving_plan(context, arm, workload), run)


def _arms(context: Context) -> Sequence[Arm]:
    return [_arm(context, arm) for arm in arms_without("hedging")]


def _targets(arms: Mapping[str, Figures]) -> Sequence[Target]:
    tier, naive = arms["tier"], arms["naive"]
    ratio = number(tier, "p99_ms") / number(naive, "p99_ms")
    return [
        at_most("p99 of tier over p99 of naive", ratio, MAX_P99_RATIO),
        at_most("added load of tier", number(tier, "added_load_ratio"), MAX_ADDED_LOAD_RATIO),
        at_least("full coverage of tier", number(tier, "full_coverage_ratio"), MIN_FULL_COVERAGE),
        at_most("wrong answers of tier", number(tier, "wrong"), 0),
    ]


EXPERIMENT = Experiment(
    "stragglers", "p99 with 2% of executions 20 times slower, at half load", _arms, _targets
)
