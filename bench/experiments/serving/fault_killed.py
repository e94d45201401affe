"""The fault that kills an upstream's process."""

from bench.experiments.serving.serving_deployment import ServingDeployment


class FaultKilled:
    """Kills the process and restarts it at the end of the fault."""

    name = "killed"

    def begin(self, deployment: ServingDeployment, victim: str) -> None:
        """Kill the process of the victim."""
        deployment.processes[deployment.process_by_upstream[victim]].kill()

    def end(self, deployment: ServingDeployment, victim: str) -> None:
        """Restart the process of the victim."""
        deployment.start_standin(deployment.process_by_upstream[victim])
