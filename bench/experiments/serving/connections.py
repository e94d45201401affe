"""Tests that the entry instances together do not exceed the upstreams' connection limit."""

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
from bench.experiments.serving.load_totals import (
    added_load_ratio,
    connection_totals,
    upstream_totals,
)
from bench.experiments.serving.serving_arm import NAIVE, SHARES_OFF, TIER, ServingArm
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

FULL = Workload(
    load_factor=1.2,
    duration_s=40.0,
    warm_up_s=3.0,
    median_ms=80.0,
    straggler_ratio=0.02,
    straggler_factor=10.0,
    deadline_ms=2_000,
    entries=3,
)
SHORT = dataclasses.replace(FULL, duration_s=8.0, warm_up_s=1.0)
SHORT_BASELINE_S = 4.0
LOAD_BALANCER_LAG_S = 0.5
KILLED_ENTRY, LEAVING_ENTRY = 1, 2


class _Churn:
    """Kills one entry, shuts another one down gracefully, and restarts each."""

    def __init__(
        self, deployment: ServingDeployment, generator: LoadGenerator, step_s: float
    ) -> None:
        self.deployment = deployment
        self.generator = generator
        self.step_s = step_s
        self.exit_code = -1

    def run(self) -> None:
        """Make all changes, with `step_s` between them."""
        entries = [item.name for item in self.deployment.plan.entries]
        gevent.sleep(self.step_s)
        self.deployment.processes[entries[KILLED_ENTRY]].kill()
        self.generator.remove_entry(KILLED_ENTRY)
        gevent.sleep(self.step_s)
        self._restart_entry(entries[KILLED_ENTRY], KILLED_ENTRY)
        gevent.sleep(self.step_s)
        process = self.deployment.processes[entries[LEAVING_ENTRY]]
        process.terminate()
        gevent.sleep(LOAD_BALANCER_LAG_S)
        self.generator.remove_entry(LEAVING_ENTRY)
        while process.running:
            gevent.sleep(0.05)
        self.exit_code = process.wait(0.0)
        self._restart_entry(entries[LEAVING_ENTRY], LEAVING_ENTRY)

    def _restart_entry(self, name: str, entry: int) -> None:
        self.deployment.start_instance(name)
        self.deployment.wait_ready_while_serving(name)
        self.generator.add_entry(entry)


def _workload(context: Context, arm: ServingArm) -> Workload:
    """Return the load; in the short form, baseline arms cover only the killed entry."""
    if not context.short:
        return FULL
    if arm.serving == TIER:
        return SHORT
    return dataclasses.replace(SHORT, duration_s=SHORT_BASELINE_S)


def _arm(context: Context, arm: ServingArm) -> Arm:
    workload = _workload(context, arm)

    def run(deployment: ServingDeployment) -> Figures:
        warm_up(context, workload, deployment)
        before, cpu = deployment.counters(), CpuUse(deployment)
        generator = LoadGenerator(offered(context, workload, deployment), {})
        churn = _Churn(deployment, generator, workload.duration_s / 8)
        changes = gevent.spawn(churn.run)
        records = generator.run().records
        figures: Figures = {**load_figures(records), **cpu.figures()}
        if workload.duration_s > SHORT_BASELINE_S:
            changes.get()
        changes.kill()
        after = deployment.counters()
        totals = upstream_totals(before, after)
        figures["added_load_ratio"] = added_load_ratio(totals["arrived"], records)
        figures["upstreams"] = totals
        figures["leaving_exit_code"] = churn.exit_code
        figures.update(connection_totals(after))
        figures["settings"] = settings_of(arm, workload)
        return figures

    return deployed_arm(context, arm, lambda: serving_plan(context, arm, workload), run)


def _arms(context: Context) -> Sequence[Arm]:
    without = ServingArm("without", (SHARES_OFF, ("limits", "off")))
    arms = (ServingArm("naive", NAIVE), without, ServingArm("tier", TIER))
    return [_arm(context, arm) for arm in arms]


def _targets(arms: Mapping[str, Figures]) -> Sequence[Target]:
    tier = arms["tier"]
    return [
        at_most("connections at any upstream", number(tier, "connections_max"), sizes.CONNECTIONS),
        at_most("connections over the cap", number(tier, "connections_refused"), 0),
        at_most("exit code of the leaving entry", abs(number(tier, "leaving_exit_code")), 0),
        at_most("wrong answers of tier", number(tier, "wrong"), 0),
    ]


EXPERIMENT = Experiment(
    "connections", "the cap of 25 while entries are killed, leave and join", _arms, _targets
)
