"""Base class of the tests with real processes."""

import pathlib
import tempfile
import unittest

from bench.caller import Caller
from bench.deployment import Deployment
from bench.fault_links import FaultLinks, proxied
from bench.plan import DeploymentPlan


class DeploymentCase(unittest.TestCase):
    """Starts a deployment per test and kills it after the test."""

    def deploy(self, plan: DeploymentPlan) -> Deployment:
        """Start a deployment and wait until it serves."""
        deployment = self._prepare(plan)
        deployment.start()
        return deployment

    def deploy_proxied(self, plan: DeploymentPlan) -> tuple[Deployment, FaultLinks]:
        """Start a deployment whose links to control instances can be interrupted."""
        plan, links = proxied(plan)
        deployment = self._prepare(plan)
        links.start(deployment)
        deployment.start()
        return deployment, links

    def callers(self, deployment: Deployment) -> list[Caller]:
        """Return one caller per entry instance."""
        return [Caller(entry.entry_port) for entry in deployment.plan.entries]

    def _prepare(self, plan: DeploymentPlan) -> Deployment:
        folder = tempfile.TemporaryDirectory(prefix="spindle-test-")
        self.addCleanup(folder.cleanup)
        deployment = Deployment(plan, pathlib.Path(folder.name))
        self.addCleanup(deployment.kill_all)
        return deployment
