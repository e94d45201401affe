"""The absence of a fault, for comparison."""

from bench.experiments.serving.serving_deployment import ServingDeployment


class FaultNone:
    """Does nothing."""

    name = "none"

    def begin(self, deployment: ServingDeployment, victim: str) -> None:
        """Do nothing."""

    def end(self, deployment: ServingDeployment, victim: str) -> None:
        """Do nothing."""
