"""What the tier itself costs, next to a fan-out without any decision."""

import dataclasses
import time
from collections.abc import Mapping, Sequence

from bench.experiments.arm import Arm
from bench.experiments.context import Context
from bench.experiments.experiment import Experiment
from bench.experiments.figures import Figures, number
from bench.experiments.serving import sizes
from bench.experiments.serving.bare_fanout import BareFanout
from bench.experiments.serving.cpu_use import CpuUse
from bench.experiments.serving.serving_arm import TIER, ServingArm, arms_without
from bench.experiments.serving.serving_deployment import ServingDeployment
from bench.experiments.serving.serving_run import measure, serving_plan, settings_of, warm_up
from bench.experiments.serving.session import deployed_arm
from bench.experiments.serving.workload import Workload
from bench.experiments.target import Target, at_most

FULL = Workload(
    load_factor=0.25, duration_s=30.0, warm_up_s=3.0, median_ms=20.0, deadline_ms=1_000, entries=1
)
SHORT = dataclasses.replace(FULL, duration_s=4.0, warm_up_s=1.0)
COST_RATIO = 1.5
SWITCHES = ("hedging", "retries", "limits", "ejection", "shares")
_US_PER_S = 1_000_000.0


def _arm(context: Context, arm: ServingArm) -> Arm:
    workload = SHORT if context.short else FULL

    def run(deployment: ServingDeployment) -> Figures:
        warm_up(context, workload, deployment)
        cpu = CpuUse(deployment)
        figures, run = measure(context, arm, workload, deployment)
        entry_s = cpu.seconds("entry")
        figures.update(_cost(entry_s, len(run.records), sizes.SERVICES * len(run.records)))
        return figures

    return deployed_arm(context, arm, lambda: serving_plan(context, arm, workload), run)


def _bare(context: Context) -> Arm:
    workload = SHORT if context.short else FULL
    arm = ServingArm("bare", TIER)

    def run(deployment: ServingDeployment) -> Figures:
        fanout = BareFanout(deployment.plan, context.seed)
        fanout.run(workload.rate_per_s, workload.warm_up_s)
        sent, started, use = fanout.sent, time.process_time(), CpuUse(deployment)
        queries = fanout.run(workload.rate_per_s, workload.duration_s)
        took_s = time.process_time() - started
        figures = _cost(took_s, queries, fanout.sent - sent)
        figures.update(use.figures())
        figures["failed"] = fanout.failed
        figures["settings"] = settings_of(arm, workload) | {"serving": "no entry, no decision"}
        return figures

    return deployed_arm(context, arm, lambda: serving_plan(context, arm, workload), run)


def _cost(cpu_s: float, queries: int, sub_requests: int) -> Figures:
    return {
        "cpu_us_per_query": round(cpu_s / queries * _US_PER_S, 1),
        "cpu_us_per_sub_request": round(cpu_s / sub_requests * _US_PER_S, 1),
    }


def _arms(context: Context) -> Sequence[Arm]:
    return [_bare(context), *(_arm(context, arm) for arm in arms_without(*SWITCHES))]


def _targets(arms: Mapping[str, Figures]) -> Sequence[Target]:
    name = "cpu_us_per_sub_request"
    ratio = number(arms["tier"], name) / number(arms["bare"], name)
    return [at_most("CPU per sub-request of the entry over bare fan-out", ratio, COST_RATIO)]


EXPERIMENT = Experiment(
    "cost", "processor time of one entry per sub-request and per query", _arms, _targets
)
