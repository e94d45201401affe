"""Runs a load against a deployment."""

import dataclasses

import msgspec

from bench.experiments.context import Context
from bench.experiments.figures import Figures
from bench.experiments.serving import sizes
from bench.experiments.serving.cpu_use import CpuUse
from bench.experiments.serving.load_totals import (
    added_load_ratio,
    connection_totals,
    upstream_totals,
)
from bench.experiments.serving.serving_arm import ServingArm
from bench.experiments.serving.serving_deployment import ServingDeployment
from bench.experiments.serving.workload import Workload
from bench.load.answer_check import ServicesByEpoch
from bench.load.generator import LoadGenerator
from bench.load.load_run import LoadRun
from bench.load.load_settings import LoadSettings
from bench.load.query_record import QueryRecord
from bench.load.summary import summarize
from bench.plan import DeploymentPlan, GroupPlan
from bench.plan_builder import build_plan


def serving_plan(context: Context, arm: ServingArm, workload: Workload) -> DeploymentPlan:
    """Return the plan of an arm's deployment; every upstream has its own seed."""
    group = GroupPlan(
        sizes.GROUP,
        sizes.SERVICES,
        sizes.REPLICAS,
        slots=sizes.SLOTS,
        connections=sizes.CONNECTIONS,
    )
    plan = build_plan(
        (group,),
        entries=workload.entries,
        data_centers=("rennes-a",),
        upstream_settings=workload.upstream_settings(),
        standin_processes=sizes.STANDIN_PROCESSES,
        own_process=workload.own_process,
        serving_settings=arm.serving,
    )
    return seeded(plan, context.seed)


def seeded(plan: DeploymentPlan, seed: int) -> DeploymentPlan:
    """Return the plan with seeds for the service times of its upstreams."""
    upstreams = tuple(
        dataclasses.replace(
            item, settings=(*item.settings, ("seed", str(seed * len(plan.upstreams) + number)))
        )
        for number, item in enumerate(plan.upstreams)
    )
    return dataclasses.replace(plan, upstreams=upstreams)


def offered(
    context: Context, workload: Workload, deployment: ServingDeployment, prefix: str = "load"
) -> LoadSettings:
    """Return the settings of a load on all entries of a deployment."""
    return LoadSettings(
        group=sizes.GROUP,
        entries=deployment.entry_endpoints(),
        rate_per_s=workload.rate_per_s,
        duration_s=workload.duration_s,
        seed=context.seed,
        deadline_ms=workload.deadline_ms,
        prefix=prefix,
    )


def warm_up(context: Context, workload: Workload, deployment: ServingDeployment) -> None:
    """Offer the load for `warm_up_s`, so that connections are open and quantiles are known."""
    settings = dataclasses.replace(
        offered(context, workload, deployment, "warm-up"), duration_s=workload.warm_up_s
    )
    LoadGenerator(settings, {}).run()


def measure(
    context: Context,
    arm: ServingArm,
    workload: Workload,
    deployment: ServingDeployment,
    services: ServicesByEpoch | None = None,
) -> tuple[Figures, LoadRun]:
    """Offer the load once and return the figures and the records of all queries."""
    before, cpu = deployment.counters(), CpuUse(deployment)
    run = LoadGenerator(offered(context, workload, deployment), services or {}).run()
    figures: Figures = {**load_figures(run.records), **cpu.figures()}
    after = deployment.counters()
    totals = upstream_totals(before, after)
    figures["added_load_ratio"] = added_load_ratio(totals["arrived"], run.records)
    figures["upstreams"] = totals
    figures["send_lag_max_ms"] = round(run.send_lag_max_ms, 1)
    figures.update(connection_totals(after))
    figures["settings"] = settings_of(arm, workload)
    return figures, run


def load_figures(records: list[QueryRecord]) -> Figures:
    """Return the figures from the callers' point of view."""
    return msgspec.structs.asdict(summarize(records))


def settings_of(arm: ServingArm, workload: Workload) -> dict[str, str]:
    """Return the settings and sizes of an arm as texts."""
    return {
        "serving": " ".join(f"{key}={value}" for key, value in arm.serving) or "as shipped",
        "services": str(sizes.SERVICES),
        "upstreams_per_service": str(sizes.REPLICAS),
        "slots": str(sizes.SLOTS),
        "connections": str(sizes.CONNECTIONS),
        "entries": str(workload.entries),
        "capacity_queries_per_s": f"{workload.capacity_per_s:.1f}",
        "offered_queries_per_s": f"{workload.rate_per_s:.1f}",
        "duration_s": f"{workload.duration_s:g}",
        "deadline_ms": str(workload.deadline_ms),
        **dict(workload.upstream_settings()),
    }
