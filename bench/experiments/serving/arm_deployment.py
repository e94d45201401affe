"""The deployment of one arm, started ahead of its measurement."""

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

    An entry instance that has just started holds one connection per upstream
    until the others have heard of it, some 8 s, so a measurement of an arm with
    connection shares waits for `SETTLE_S` after the start.
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
        """End all processes at once."""
        if self.deployment is not None:
            self.deployment.kill_all()

    @contextlib.contextmanager
    def settled_deployment(self) -> Iterator[ServingDeployment]:
        """Wait until the deployment has settled; end its processes afterwards."""
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
    """Return an arm that measures a deployment of its own.

    `founding` is how many services the founding note names; all, when `None`.
    """
    arm_deployment = ArmDeployment(context, arm, plan, initial_services)

    def measured() -> Figures:
        with arm_deployment.settled_deployment() as deployment:
            return run(deployment)

    return Arm(arm.name, measured, prepare=arm_deployment.start, close=arm_deployment.stop)
