"""The plan of a deployment under test."""

import dataclasses

MESH_SCHEME = "tcp://"


@dataclasses.dataclass(frozen=True)
class InstancePlan:
    """A control or entry instance and its loopback ports."""

    name: str
    role: str
    data_center: str
    mesh_port: int
    admin_port: int
    entry_port: int = 0


@dataclasses.dataclass(frozen=True)
class UpstreamPlan:
    """A stand-in upstream; `process` is the name of the stand-in process that runs it."""

    name: str
    service: str
    group: str
    data_center: str
    port: int
    process: str
    settings: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True)
class GroupPlan:
    """A group with the number of its services and of the upstreams of each service."""

    name: str
    services: int
    replicas: int
    kind: str = "query"
    slots: int = 2
    connections: int = 25
    settings: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True)
class DeploymentPlan:
    """The instances, groups, upstreams and settings of a deployment.

    `entry_settings` and `serving_settings` are written into the settings file of
    every entry, `control_settings` into that of every control instance. `links`
    are `(instance, control, port)`: the instance connects to the control instance
    at this mesh port, such as that of a fault proxy.
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
