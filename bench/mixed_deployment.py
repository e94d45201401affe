"""A deployment with instances of different builds."""

import pathlib
import subprocess

from bench.build import Build
from bench.experiments.serving.serving_deployment import ServingDeployment
from bench.plan import DeploymentPlan
from bench.ports import LOOPBACK
from bench.process import Process


class MixedDeployment(ServingDeployment):
    """Starts each instance from its build in `builds`, which is keyed by instance name.

    Stand-in upstreams run from `own`, the build of this tree.
    """

    def __init__(
        self, plan: DeploymentPlan, folder: pathlib.Path, builds: dict[str, Build], own: Build
    ) -> None:
        super().__init__(plan, folder)
        self.builds = builds
        self.own = own

    def spindlectl(self, build: Build, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run an operator command of a build against all control instances."""
        options = ["--key-file", str(self.folder / "key")]
        for control in self.plan.controls:
            options += ["--control", f"{LOOPBACK}:{control.admin_port}"]
        return build.run("spindle_cli", *options, *arguments)

    def _start(self, name: str, module: str, arguments: list[str]) -> None:
        build = self.builds.get(name, self.own)
        log = self.folder / f"{name}.log"
        process = Process(name, module, arguments, log, build.environment())
        process.start()
        self.processes[name] = process
