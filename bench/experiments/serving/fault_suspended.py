"""The fault that suspends an upstream's process."""

from bench.experiments.serving.serving_deployment import ServingDeployment


class FaultSuspended:
    """Suspends the process; its connections stay open but get no response."""

    name = "frozen"

    def begin(self, deployment: ServingDeployment, victim: str) -> None:
        """Suspend the process of the victim."""
        deployment.processes[deployment.process_by_upstream[victim]].suspend()

    def end(self, deployment: ServingDeployment, victim: str) -> None:
        """Resume the process of the victim."""
        deployment.processes[deployment.process_by_upstream[victim]].resume()
