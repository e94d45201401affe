"""The deployment of an arm, which starts before its measurement."""

import contextlib
import dataclasses
import time
from collections.abc import Callable, Iterator

import gevent

from bench.experiments.arm import Arm
from bench.experiments.context import Context
from bench.experiments.figures import Figures
from bench.experiments.serving.serving_arm import ServingArm
from bench.experiments.serving.serving_deployment import ServingDeployment
from bench.experiments.serving.sizes import service_name
from bench.plan import DeploymentPlan, UpstreamPlan

SETTLE_DELAY_S = 9.0


class ArmDeployment:
    """Starts a deployment and waits until it has settled.

    A new entry instance holds only one connection per upstream until the other
    entry instances know it, which takes about 8 s. The measurement of an arm with
    connection shares therefore starts `SETTLE_DELAY_S` after the deployment.
    """

    def __init__(
        self,
        context: Context,
        arm: ServingArm,
        plan: Callable[[], DeploymentPlan],
        initial_services: int | None,
    ) -> None:
        self.initial_services = initial_services
        self.plan = plan
        self.folder = context.folder / arm.name
        self.deployment: ServingDeployment | None = None
        self.settle_s = SETTLE_DELAY_S if arm.shares else 0.0
        self.settled_at = 0.0

    def start(self) -> None:
        """Start all processes and wait until the entries are ready."""
        self.folder.mkdir(parents=True, exist_ok=True)
        plan, later = self._split_initial(self.plan())
        self.deployment = ServingDeployment(plan, self.folder, later)
        self.deployment.start()
        self.settled_at = time.monotonic() + self.settle_s

    def _split_initial(
        self, plan: DeploymentPlan
    ) -> tuple[DeploymentPlan, tuple[UpstreamPlan, ...]]:
        if self.initial_services is None:
            return plan, ()
        group = dataclasses.replace(plan.groups[0], services=self.initial_services)
        first = {service_name(number) for number in range(self.initial_services)}
        now = tuple(item for item in plan.upstreams if item.service in first)
        later = tuple(item for item in plan.upstreams if item.service not in first)
        return dataclasses.replace(plan, groups=(group,), upstreams=now), later

    def stop(self) -> None:
        """Kill all processes."""
        if self.deployment is not None:
            self.deployment.kill_all()

    @contextlib.contextmanager
    def settled_deployment(self) -> Iterator[ServingDeployment]:
        """Wait until the deployment has settled and return it; kill its processes at the end."""
        if self.deployment is None:
            self.start()
        assert self.deployment is not None
        gevent.sleep(max(0.0, self.settled_at - time.monotonic()))
        try:
            yield self.deployment
        finally:
            self.stop()


def deployed_arm(
    context: Context,
    arm: ServingArm,
    plan: Callable[[], DeploymentPlan],
    run: Callable[[ServingDeployment], Figures],
    initial_services: int | None = None,
) -> Arm:
    """Return an arm with its own deployment.

    `initial_services` is the number of services in the first release note; `None`
    means all.
    """
    arm_deployment = ArmDeployment(context, arm, plan, initial_services)

    def measured() -> Figures:
        with arm_deployment.settled_deployment() as deployment:
            return run(deployment)

    return Arm(arm.name, measured, prepare=arm_deployment.start, close=arm_deployment.stop)
