"""The cost of control in CPU time, memory and bytes against the number of instances."""

import dataclasses
import time
from collections.abc import Mapping, Sequence

from bench import deployment_files
from bench.deployment import Deployment, running_deployment
from bench.experiments.arm import Arm
from bench.experiments.capacity.slope import fit
from bench.experiments.context import Context
from bench.experiments.experiment import Experiment
from bench.experiments.figures import Figures, number
from bench.experiments.target import Target, at_most
from bench.metrics_reader import read_metrics
from bench.plan import DeploymentPlan, GroupPlan, InstancePlan
from bench.plan_builder import DEFAULT_DATA_CENTERS, build_plan
from bench.ports import free_ports
from bench.process import Process
from bench.process_meter import process_use

GROUP = GroupPlan("comptoir", 20, 2)
INSTANCE_COUNTS = (3, 6, 9, 60, 150, 300)
INSTANCE_COUNTS_SHORT = (3, 9, 60)
DURATION_S = 20.0
DURATION_SHORT_S = 5.0
SETTLE_DELAY_S = 4.0
MAX_CORES = 0.01
MAX_GROWTH_BYTES = 32 * 1024 * 1024
MAX_BYTES_PER_S = 27_000.0
METRIC_IN = "spindle_mesh_bytes_total{in}"
METRIC_OUT = "spindle_mesh_bytes_total{out}"


@dataclasses.dataclass(frozen=True)
class CostSample:
    """The resource use of one process up to a monotonic time in seconds."""

    at: float
    cpu_s: float
    resident_bytes: int
    mesh_bytes: float


@dataclasses.dataclass(frozen=True)
class CostRate:
    """The resource use of one process per second."""

    cores: float
    resident_bytes: int
    bytes_per_s: float


def _run(context: Context, instances: int) -> Figures:
    duration_s = DURATION_SHORT_S if context.short else DURATION_S
    plan = build_plan((GROUP,), controls=3, entries=1)
    with running_deployment(plan, context.folder / f"instances-{instances}") as deployment:
        names = [control.name for control in plan.controls]
        alone = {name: _sample(deployment, name) for name in names}
        swarm = _start_swarm(deployment, plan, instances - 1)
        time.sleep(SETTLE_DELAY_S)
        _wait_reported(deployment, instances)
        rates = _rates(deployment, [*names, "entry-1"], duration_s)
        leader = deployment.leader()
        swarm_pid = swarm.child.pid if swarm.child else 0
        swarm_bytes = process_use(swarm_pid).resident_bytes
    worst = max((rates[name] for name in names), key=lambda rate: rate.cores)
    entry = rates["entry-1"]
    return {
        "instances": instances,
        "control_cores_worst": round(worst.cores, 5),
        "control_cores_leader": round(rates[leader].cores, 5),
        "control_bytes_per_s_worst": round(max(rates[name].bytes_per_s for name in names), 1),
        "control_resident_growth_bytes": max(
            rates[name].resident_bytes - alone[name].resident_bytes for name in names
        ),
        "control_resident_bytes": max(rates[name].resident_bytes for name in names),
        "entry_cores": round(entry.cores, 5),
        "entry_bytes_per_s": round(entry.bytes_per_s, 1),
        "entry_resident_bytes": entry.resident_bytes,
        "swarm_resident_bytes": swarm_bytes,
    }


def _start_swarm(deployment: Deployment, plan: DeploymentPlan, count: int) -> Process:
    folder = deployment.folder / "swarm"
    folder.mkdir()
    ports = free_ports(count * 3)
    for index in range(count):
        mesh, admin, entry = ports[index * 3 : index * 3 + 3]
        data_center = DEFAULT_DATA_CENTERS[index % len(DEFAULT_DATA_CENTERS)]
        instance = InstancePlan(f"swarm-{index:03d}", "entry", data_center, mesh, admin, entry)
        text = deployment_files.instance_settings(plan, instance, deployment.folder)
        (folder / f"{instance.name}.ini").write_text(text)
    process = Process(
        "swarm",
        "bench.swarm",
        ["--folder", str(folder)],
        deployment.folder / "swarm.log",
    )
    process.start()
    deployment.processes["swarm"] = process
    return process


def _wait_reported(deployment: Deployment, instances: int) -> None:
    def all_reported() -> bool | None:
        rows = deployment.operator("control-1").get("/v1/reports").body
        return True if len(rows) >= instances else None

    deployment.wait_until(all_reported, f"reports of {instances} instances", 60.0)


def _rates(deployment: Deployment, names: list[str], duration_s: float) -> dict[str, CostRate]:
    before = {name: _sample(deployment, name) for name in names}
    time.sleep(duration_s)
    after = {name: _sample(deployment, name) for name in names}
    return {name: _rate(before[name], after[name]) for name in names}


def _sample(deployment: Deployment, name: str) -> CostSample:
    child = deployment.processes[name].child
    assert child is not None
    use = process_use(child.pid)
    metrics = read_metrics(deployment.instances[name].admin_port)
    return CostSample(
        time.monotonic(), use.cpu_s, use.resident_bytes, metrics[METRIC_IN] + metrics[METRIC_OUT]
    )


def _rate(before: CostSample, after: CostSample) -> CostRate:
    duration_s = after.at - before.at
    return CostRate(
        (after.cpu_s - before.cpu_s) / duration_s,
        after.resident_bytes,
        (after.mesh_bytes - before.mesh_bytes) / duration_s,
    )


def _arm(context: Context, instances: int) -> Arm:
    return Arm(f"instances-{instances}", lambda: _run(context, instances))


def _arms(context: Context) -> Sequence[Arm]:
    return [
        _arm(context, count)
        for count in (INSTANCE_COUNTS_SHORT if context.short else INSTANCE_COUNTS)
    ]


def _targets(arms: Mapping[str, Figures]) -> Sequence[Target]:
    sizes = [number(figures, "instances") for figures in arms.values()]
    cores = [number(figures, "control_cores_worst") for figures in arms.values()]
    slope = number(fit("cores by instances", sizes, cores), "slope")
    largest = list(arms.values())[-1]
    return [
        at_most("entry cores for control", number(largest, "entry_cores"), MAX_CORES),
        at_most("entry bytes a second", number(largest, "entry_bytes_per_s"), MAX_BYTES_PER_S),
        at_most(
            "growth of a control instance in bytes",
            number(largest, "control_resident_growth_bytes"),
            MAX_GROWTH_BYTES,
        ),
        at_most("control cores per instance", slope, MAX_CORES),
    ]


EXPERIMENT = Experiment(
    "control-cost", "cost of control against the number of instances", _arms, _targets
)
