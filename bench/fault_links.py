"""Fault proxies on the links to the control instances of a deployment."""

import dataclasses

import msgspec

from bench.deployment import Deployment
from bench.files import render_ini
from bench.http_exchange import exchange
from bench.plan import DeploymentPlan
from bench.ports import LOOPBACK, free_ports
from bench.process import Process

PATH_LINKS = "/v1/links"


@dataclasses.dataclass(frozen=True)
class FaultLink:
    """The proxied way from one instance to one control instance."""

    source: str
    control: str
    port: int
    target_port: int

    @property
    def name(self) -> str:
        """Return the name of the link in the proxy."""
        return f"{self.source}>{self.control}"


class FaultLinks:
    """One proxy process that carries every message to control instances.

    An instance hears a control instance only in answer to what it sent, so the
    links towards control instances are enough to cut any of them off.
    """

    def __init__(self, links: tuple[FaultLink, ...], admin_port: int) -> None:
        self.links = links
        self.admin_port = admin_port

    def start(self, deployment: Deployment) -> None:
        """Start the proxy process as part of a deployment."""
        sections = {"proxy": {"listen": f"{LOOPBACK}:{self.admin_port}"}}
        for link in self.links:
            sections[f"link {link.name}"] = {
                "listen": f"{LOOPBACK}:{link.port}",
                "target": f"{LOOPBACK}:{link.target_port}",
            }
        path = deployment.folder / "proxy.ini"
        path.write_text(render_ini(sections))
        process = Process(
            "proxy",
            "spindle_devkit.proxy",
            ["--config", str(path)],
            deployment.folder / "proxy.log",
        )
        process.start()
        deployment.processes["proxy"] = process
        deployment.wait_until(lambda: self._post({}) or None, "the fault proxy")

    def isolate(self, control: str) -> None:
        """Cut a control instance off from all others, both ways and silently."""
        for link in self.links:
            if control in (link.source, link.control):
                self.cut(link.source, link.control)

    def split(self, side: frozenset[str]) -> None:
        """Cut every link between the named instances and all others."""
        for link in self.links:
            if (link.source in side) != (link.control in side):
                self.cut(link.source, link.control)

    def heal_within(self, side: frozenset[str]) -> None:
        """End the cuts between the named instances only."""
        for link in self.links:
            if link.source in side and link.control in side:
                self._post(
                    {"link": link.name, "cut_forward": False, "cut_backward": False, "reset": True}
                )

    def cut(self, source: str, control: str) -> None:
        """Hold everything that an instance sends to a control instance."""
        self._post({"link": f"{source}>{control}", "cut_forward": True, "cut_backward": True})

    def heal(self) -> None:
        """End all cuts; the held connections are reset, as after a long partition."""
        self._post({"cut_forward": False, "cut_backward": False, "reset": True})

    def _post(self, change: dict[str, object]) -> bool:
        done = exchange(self.admin_port, "POST", PATH_LINKS, msgspec.json.encode(change))
        if done.status != 200:
            raise RuntimeError(f"fault proxy answered {done.status}")
        return True


def proxied(plan: DeploymentPlan) -> tuple[DeploymentPlan, FaultLinks]:
    """Return the plan with every link to a control instance led through a proxy."""
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
