"""A deployment whose stand-in processes have a control API."""

import pathlib

import gevent

from bench import deployment_files
from bench.deployment import START_TIMEOUT_S, Deployment
from bench.experiments.serving.standin_client import StandinClient
from bench.plan import DeploymentPlan, UpstreamPlan
from bench.ports import LOOPBACK, free_ports
from spindle_devkit.endpoint import Endpoint
from spindle_devkit.upstream.behavior_change import BehaviorChange
from spindle_devkit.upstream.counters import Counters
from spindle_devkit.upstream.execution import Execution

_POLL_INTERVAL_S = 0.05


class ServingDeployment(Deployment):
    """Changes the stand-in upstreams and reads their counters and executions.

    Upstreams in `later` run from the start on, but the first release note does
    not contain them.
    """

    def __init__(
        self, plan: DeploymentPlan, folder: pathlib.Path, later: tuple[UpstreamPlan, ...] = ()
    ) -> None:
        super().__init__(plan, folder)
        self.upstreams = (*plan.upstreams, *later)
        self.process_by_upstream = {item.name: item.process for item in self.upstreams}
        names = sorted(set(self.process_by_upstream.values()))
        self.control_ports = dict(zip(names, free_ports(len(names)), strict=True))

    def start_standins(self) -> None:
        """Start all stand-in processes."""
        for name in self.control_ports:
            self.start_standin(name)

    def start_standin(self, name: str) -> None:
        """Start or restart one stand-in process."""
        own = tuple(item for item in self.upstreams if item.process == name)
        listen = f"\n[standin]\nlisten = {LOOPBACK}:{self.control_ports[name]}\n"
        path = self.folder / f"{name}.ini"
        path.write_text(deployment_files.standin_settings(own, self.plan) + listen)
        self._start(name, "spindle_devkit.upstream", ["--config", str(path)])

    def change(self, change: BehaviorChange) -> None:
        """Change one upstream, or all upstreams if none is named."""
        names = (
            [self.process_by_upstream[change.upstream]] if change.upstream else self.control_ports
        )
        for name in names:
            client = StandinClient(self.control_ports[name])
            client.change(change)
            client.close()

    def counters(self) -> dict[str, Counters]:
        """Return the counters of all upstreams by name."""
        found: dict[str, Counters] = {}
        for port in self.control_ports.values():
            client = StandinClient(port)
            found.update(client.counters())
            client.close()
        return found

    def executions(self) -> list[Execution]:
        """Return the newest executions of all upstreams."""
        found: list[Execution] = []
        for port in self.control_ports.values():
            client = StandinClient(port)
            found.extend(client.report().executions)
            client.close()
        return found

    def entry_endpoints(self) -> tuple[Endpoint, ...]:
        """Return the addresses of the entries for callers."""
        return tuple(Endpoint(LOOPBACK, item.entry_port) for item in self.plan.entries)

    def wait_ready_while_serving(self, name: str) -> None:
        """Wait until an instance is ready without blocking the event loop that offers load.

        Raises `gevent.Timeout` after `START_TIMEOUT_S`.
        """
        with gevent.Timeout(START_TIMEOUT_S):
            while not self._ready(name):
                gevent.sleep(_POLL_INTERVAL_S)

    def _ready(self, name: str) -> bool:
        try:
            return self.operator(name, 1.0).get("/readyz").status == 200
        except OSError:
            return False
