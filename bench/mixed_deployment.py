"""A deployment with instances of different builds."""

import pathlib
import subprocess

from bench.build import Build
from bench.cli import operator_options
from bench.experiments.serving.serving_deployment import ServingDeployment
from bench.plan import DeploymentPlan


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
        return build.run("spindle_cli", *operator_options(self), *arguments)

    def environment_of(self, name: str) -> dict[str, str]:
        """Return the variables with which a process imports its build."""
        return self.builds.get(name, self.own).environment()
