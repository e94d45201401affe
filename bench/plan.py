"""What a deployment under test consists of."""

import dataclasses

MESH_SCHEME = "tcp://"


@dataclasses.dataclass(frozen=True)
class InstancePlan:
    """One control or entry instance and its ports on loopback."""

    name: str
    role: str
    data_center: str
    mesh_port: int
    admin_port: int
    entry_port: int = 0


@dataclasses.dataclass(frozen=True)
class UpstreamPlan:
    """One stand-in upstream; `process` names the stand-in process that serves it."""

    name: str
    service: str
    group: str
    data_center: str
    port: int
    process: str
    settings: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True)
class GroupPlan:
    """A group with its number of services and of upstreams per service."""

    name: str
    services: int
    replicas: int
    kind: str = "query"
    slots: int = 2
    connections: int = 25
    settings: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True)
class DeploymentPlan:
    """All parts of a deployment.

    `entry_settings` and `serving_settings` go into every entry's settings file,
    `upstream_settings` into every stand-in upstream's. `links` maps
    `(instance, control)` to another mesh port, as that of a fault proxy.
    """

    controls: tuple[InstancePlan, ...]
    entries: tuple[InstancePlan, ...]
    groups: tuple[GroupPlan, ...]
    upstreams: tuple[UpstreamPlan, ...]
    data_centers: tuple[str, ...]
    entry_settings: tuple[tuple[str, str], ...] = ()
    serving_settings: tuple[tuple[str, str], ...] = ()
    control_settings: tuple[tuple[str, str], ...] = ()
    links: tuple[tuple[str, str, int], ...] = ()
