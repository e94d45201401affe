"""The upstream's process is frozen."""

from bench.experiments.serving.serving_deployment import ServingDeployment


class FaultSuspended:
    """Suspends the process; its connections stay open and silent."""

    name = "frozen"

    def begin(self, deployment: ServingDeployment, victim: str) -> None:
        """Suspend the process of the victim."""
        deployment.processes[deployment.process_by_upstream[victim]].suspend()

    def end(self, deployment: ServingDeployment, victim: str) -> None:
        """Resume the process of the victim."""
        deployment.processes[deployment.process_by_upstream[victim]].resume()
