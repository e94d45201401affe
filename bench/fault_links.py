"""A fault proxy on the links to the control instances of a deployment."""

import dataclasses

from bench.deployment import Deployment
from bench.fault_proxy import FaultProxy
from bench.plan import DeploymentPlan
from bench.ports import free_ports


@dataclasses.dataclass(frozen=True)
class FaultLink:
    """The proxied link from one instance to one control instance."""

    source: str
    control: str
    port: int
    target_port: int

    @property
    def name(self) -> str:
        """Return the name of the link in the proxy."""
        return f"{self.source}>{self.control}"


class FaultLinks:
    """A proxy process that forwards every message to control instances.

    A control instance sends messages to an instance only in reply to that
    instance's messages, so that proxying the links towards control instances is
    enough to isolate any of them.
    """

    def __init__(self, links: tuple[FaultLink, ...], admin_port: int) -> None:
        self.links = links
        ports = {link.name: (link.port, link.target_port) for link in links}
        self.proxy = FaultProxy("proxy", admin_port, ports)

    def start(self, deployment: Deployment) -> None:
        """Start the proxy process as part of a deployment."""
        deployment.processes[self.proxy.name] = self.proxy.start(deployment.folder)
        deployment.wait_until(self.proxy.is_ready, "the fault proxy")

    def isolate(self, control: str) -> None:
        """Cut both directions between a control instance and all others, without errors."""
        for link in self.links:
            if control in (link.source, link.control):
                self.cut(link.source, link.control)

    def partition(self, side: frozenset[str]) -> None:
        """Cut every link between the named instances and all others."""
        for link in self.links:
            if (link.source in side) != (link.control in side):
                self.cut(link.source, link.control)

    def restore_within(self, side: frozenset[str]) -> None:
        """End the cuts between the named instances only."""
        for link in self.links:
            if link.source in side and link.control in side:
                self.proxy.change(link.name, cut_forward=False, cut_backward=False, reset=True)

    def cut(self, source: str, control: str) -> None:
        """Cut the link from an instance to a control instance, in both directions."""
        self.proxy.change(f"{source}>{control}", cut_forward=True, cut_backward=True)

    def restore(self) -> None:
        """End all cuts and reset the connections, as after a long partition."""
        self.proxy.change(cut_forward=False, cut_backward=False, reset=True)


def proxied(plan: DeploymentPlan) -> tuple[DeploymentPlan, FaultLinks]:
    """Return the plan with every link to a control instance routed through a proxy."""
    pairs = [
        (item, control)
        for item in (*plan.controls, *plan.entries)
        for control in plan.controls
        if item.name != control.name
    ]
    ports = free_ports(len(pairs) + 1)
    links = tuple(
        FaultLink(item.name, control.name, port, control.mesh_port)
        for (item, control), port in zip(pairs, ports, strict=False)
    )
    listed = tuple((link.source, link.control, link.port) for link in links)
    return dataclasses.replace(plan, links=listed), FaultLinks(links, ports[-1])
