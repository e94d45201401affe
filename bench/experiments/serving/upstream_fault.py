"""The time until coverage is full again after an upstream fault, and the tail latency."""

import dataclasses
from collections.abc import Mapping, Sequence

import gevent

from bench.experiments.arm import Arm
from bench.experiments.context import Context
from bench.experiments.experiment import Experiment
from bench.experiments.figures import Figures, number
from bench.experiments.serving import sizes
from bench.experiments.serving.arm_deployment import deployed_arm
from bench.experiments.serving.cpu_use import CpuUse
from bench.experiments.serving.fault import Fault
from bench.experiments.serving.fault_false_load_report import FaultFalseLoadReport
from bench.experiments.serving.fault_killed import FaultKilled
from bench.experiments.serving.fault_none import FaultNone
from bench.experiments.serving.fault_suspended import FaultSuspended
from bench.experiments.serving.load_totals import added_load_ratio, upstream_totals
from bench.experiments.serving.serving_arm import ServingArm, arms_without
from bench.experiments.serving.serving_deployment import ServingDeployment
from bench.experiments.serving.serving_run import (
    load_figures,
    offered,
    serving_plan,
    settings_of,
    warm_up,
)
from bench.experiments.serving.workload import Workload
from bench.experiments.target import Target, at_most
from bench.load.generator import LoadGenerator
from bench.load.query_record import QueryRecord
from bench.load.summary import summarize

VICTIM = f"{sizes.GROUP}-01-a"
MEDIAN_MS = 40.0
SLOWDOWN_FACTOR = 10.0
FAULT_AT_S = 0.5
WINDOW_S = 2.0
FULL_SETTLE_S = 3.0
SHORT_SETTLE_S = 0.7
MAX_RECOVERY_S = 2.0
MAX_P99_RATIO = 1.5
NONE = "none"

FULL = Workload(
    load_factor=0.3,
    duration_s=12.0,
    warm_up_s=4.0,
    median_ms=MEDIAN_MS,
    deadline_ms=1_000,
    own_process=frozenset({VICTIM}),
)
SHORT = dataclasses.replace(FULL, duration_s=3.2, warm_up_s=1.0)


def _faults(context: Context, arm: ServingArm) -> Sequence[Fault]:
    if context.short and arm.name != "tier":
        return [FaultSuspended()]
    return [
        FaultNone(),
        FaultKilled(),
        FaultSuspended(),
        FaultFalseLoadReport(MEDIAN_MS, SLOWDOWN_FACTOR),
    ]


def _phase(
    context: Context, workload: Workload, deployment: ServingDeployment, fault: Fault
) -> list[QueryRecord]:
    settings = offered(context, workload, deployment, fault.name)
    generator = LoadGenerator(settings, {})
    begin = gevent.spawn_later(FAULT_AT_S, fault.begin, deployment, VICTIM)
    records = generator.run().records
    begin.get()
    fault.end(deployment, VICTIM)
    gevent.sleep(SHORT_SETTLE_S if context.short else FULL_SETTLE_S)
    return records


def _phase_figures(name: str, records: list[QueryRecord]) -> Figures:
    broken = [item.at_s for item in records if item.at_s >= FAULT_AT_S and not item.complete]
    window_end_s = FAULT_AT_S + WINDOW_S
    outside = [item for item in records if not FAULT_AT_S <= item.at_s < window_end_s]
    return {
        f"{name}_recovery_s": round(max(broken) - FAULT_AT_S, 3) if broken else 0.0,
        f"{name}_not_full": sum(not item.complete for item in records),
        f"{name}_p99_ms": summarize(records).p99_ms,
        f"{name}_p99_outside_ms": summarize(outside).p99_ms,
    }


def _arm(context: Context, arm: ServingArm) -> Arm:
    workload = SHORT if context.short else FULL

    def run(deployment: ServingDeployment) -> Figures:
        warm_up(context, workload, deployment)
        before, cpu = deployment.counters(), CpuUse(deployment)
        figures: Figures = {}
        records: list[QueryRecord] = []
        for fault in _faults(context, arm):
            phase_records = _phase(context, workload, deployment, fault)
            figures.update(_phase_figures(fault.name, phase_records))
            records.extend(phase_records)
        figures.update(load_figures(records))
        figures.update(cpu.figures())
        totals = upstream_totals(before, deployment.counters())
        figures["added_load_ratio"] = added_load_ratio(totals["arrived"], records)
        figures["upstreams"] = totals
        figures["settings"] = settings_of(arm, workload)
        return figures

    return deployed_arm(context, arm, lambda: serving_plan(context, arm, workload), run)


def _arms(context: Context) -> Sequence[Arm]:
    return [_arm(context, arm) for arm in arms_without("ejection", "hedging", "retries")]


def _fault_free_p99_ms(arms: Mapping[str, Figures]) -> float:
    """Return the minimum fault-free p99 of all arms, so that noise cannot improve the ratio."""
    name = f"{NONE}_p99_ms"
    return min(number(figures, name) for figures in arms.values() if name in figures)


def _targets(arms: Mapping[str, Figures]) -> Sequence[Target]:
    tier = arms["tier"]
    fault_free_ms = _fault_free_p99_ms(arms)
    targets = [at_most("wrong answers of tier", number(tier, "wrong"), 0)]
    for name in (FaultKilled.name, FaultSuspended.name, FaultFalseLoadReport.name):
        recovery_s = number(tier, f"{name}_recovery_s")
        ratio = number(tier, f"{name}_p99_outside_ms") / fault_free_ms
        targets.append(at_most(f"{name}: seconds to full coverage", recovery_s, MAX_RECOVERY_S))
        targets.append(at_most(f"{name}: p99 outside 2 s over fault-free", ratio, MAX_P99_RATIO))
    return targets


EXPERIMENT = Experiment(
    "upstream-fault",
    "one upstream killed, frozen, or slow while it reports no load",
    _arms,
    _targets,
)
