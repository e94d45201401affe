"""The upstream's process is killed."""

from bench.experiments.serving.serving_deployment import ServingDeployment


class FaultKilled:
    """Ends the process at once and starts it again at the end."""

    name = "killed"

    def begin(self, deployment: ServingDeployment, victim: str) -> None:
        """Kill the process of the victim."""
        deployment.processes[deployment.process_by_upstream[victim]].kill()

    def end(self, deployment: ServingDeployment, victim: str) -> None:
        """Start the process of the victim again."""
        deployment.start_standin(deployment.process_by_upstream[victim])
