"""The deployment of one arm, started ahead of its measurement."""

import contextlib
import time
from collections.abc import Callable, Iterator

import gevent

from bench.experiments.arm import Arm
from bench.experiments.context import Context
from bench.experiments.figures import Figures
from bench.experiments.serving.serving_arm import ServingArm
from bench.experiments.serving.serving_deployment import ServingDeployment
from bench.plan import DeploymentPlan

SETTLE_S = 9.0


class Session:
    """Starts a deployment and waits until it has settled.

    An entry instance that has just started holds one connection per upstream
    until the others have heard of it, some 8 s, so a measurement waits for
    `SETTLE_S` after the start.
    """

    def __init__(
        self, context: Context, arm: ServingArm, plan: Callable[[], DeploymentPlan]
    ) -> None:
        self.plan = plan
        self.folder = context.folder / arm.name
        self.deployment: ServingDeployment | None = None
        self.settled_at = 0.0

    def start(self) -> None:
        """Start all processes and wait until the entries are ready."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.deployment = ServingDeployment(self.plan(), self.folder)
        self.deployment.start()
        self.settled_at = time.monotonic() + SETTLE_S

    def stop(self) -> None:
        """End all processes at once."""
        if self.deployment is not None:
            self.deployment.kill_all()

    @contextlib.contextmanager
    def settled(self) -> Iterator[ServingDeployment]:
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
) -> Arm:
    """Return an arm that measures a deployment of its own."""
    session = Session(context, arm, plan)

    def measured() -> Figures:
        with session.settled() as deployment:
            return run(deployment)

    return Arm(arm.name, measured, prepare=session.start, close=session.stop)
