"""Builds deployment plans with free loopback ports."""

from bench.plan import DeploymentPlan, GroupPlan, InstancePlan, UpstreamPlan
from bench.ports import free_ports

PORTS_PER_CONTROL = 2
PORTS_PER_ENTRY = 3
DEFAULT_DATA_CENTERS = ("rennes-a", "brest-b", "vannes-c")

Pairs = tuple[tuple[str, str], ...]


def build_plan(
    groups: tuple[GroupPlan, ...] = (),
    controls: int = 1,
    entries: int = 1,
    data_centers: tuple[str, ...] = DEFAULT_DATA_CENTERS,
    upstream_settings: Pairs = (),
    standin_processes: int = 1,
    own_process: frozenset[str] = frozenset(),
    entry_settings: Pairs = (),
    serving_settings: Pairs = (),
    control_settings: Pairs = (),
) -> DeploymentPlan:
    """Return a plan with instances and upstreams distributed round robin over data centres.

    Each upstream in `own_process` gets its own stand-in process; the others share
    `standin_processes` processes. `upstream_settings` apply to every upstream.
    """
    upstream_count = sum(group.services * group.replicas for group in groups)
    needed = controls * PORTS_PER_CONTROL + entries * PORTS_PER_ENTRY + upstream_count
    ports = iter(free_ports(needed))
    return DeploymentPlan(
        controls=tuple(
            InstancePlan(
                f"control-{number + 1}",
                "control",
                data_centers[number % len(data_centers)],
                next(ports),
                next(ports),
            )
            for number in range(controls)
        ),
        entries=tuple(
            InstancePlan(
                f"entry-{number + 1}",
                "entry",
                data_centers[number % len(data_centers)],
                next(ports),
                next(ports),
                next(ports),
            )
            for number in range(entries)
        ),
        groups=groups,
        upstreams=tuple(
            UpstreamPlan(
                name=name,
                service=f"{group.name}-{service + 1:02d}",
                group=group.name,
                data_center=data_centers[replica % len(data_centers)],
                port=next(ports),
                process=_process(name, service, standin_processes, own_process),
                settings=upstream_settings + group.settings,
            )
            for group in groups
            for service in range(group.services)
            for replica in range(group.replicas)
            for name in [f"{group.name}-{service + 1:02d}-{'abcdefgh'[replica]}"]
        ),
        data_centers=data_centers,
        entry_settings=entry_settings,
        serving_settings=serving_settings,
        control_settings=control_settings,
    )


def _process(name: str, service: int, processes: int, own: frozenset[str]) -> str:
    return f"standin-{name}" if name in own else f"standin-{service % processes + 1}"
