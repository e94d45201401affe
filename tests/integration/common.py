"""Base class of the tests with real processes."""

import pathlib
import tempfile
import unittest

from bench.caller import Caller
from bench.deployment import Deployment
from bench.fault_links import FaultLinks, proxied
from bench.operator_client import OperatorAnswer
from bench.plan import DeploymentPlan, InstancePlan


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

    def wait_versions(self, deployment: Deployment, version: int, names: list[str]) -> None:
        """Wait until one control instance has reports of a version from all named entries."""

        def confirmed() -> bool | None:
            return True if any(map(has_confirmed, deployment.plan.controls)) else None

        def has_confirmed(control: InstancePlan) -> bool:
            if not deployment.processes[control.name].running:
                return False
            try:
                rows = deployment.operator(control.name, 1.0).get("/v1/reports").body
            except OSError:
                return False
            versions = {row["live"]["instance"]: row["config_version"] for row in rows}
            return all(versions.get(name, 0) >= version for name in names)

        deployment.wait_until(confirmed, f"version {version} at {names}")

    def apply_until_accepted(
        self, deployment: Deployment, note: str, control: str
    ) -> OperatorAnswer:
        """Send a note until it is accepted, as the command line does after a lost answer."""

        def send() -> OperatorAnswer | None:
            answer = deployment.apply(note, control)
            return answer if answer.status == 200 else None

        return deployment.wait_until(send, "the note to be accepted")

    def _prepare(self, plan: DeploymentPlan) -> Deployment:
        folder = tempfile.TemporaryDirectory(prefix="spindle-test-")
        self.addCleanup(folder.cleanup)
        deployment = Deployment(plan, pathlib.Path(folder.name))
        self.addCleanup(deployment.kill_all)
        return deployment
