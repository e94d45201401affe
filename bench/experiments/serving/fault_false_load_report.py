"""The fault of an upstream that reports no load while it is slow."""

from bench.experiments.serving.serving_deployment import ServingDeployment
from spindle_devkit.upstream.behavior_change import BehaviorChange


class FaultFalseLoadReport:
    """Makes an upstream report no load and take `slowdown_factor` times as long."""

    name = "lying"

    def __init__(self, median_ms: float, slowdown_factor: float) -> None:
        self.median_ms = median_ms
        self.slowdown_factor = slowdown_factor

    def begin(self, deployment: ServingDeployment, victim: str) -> None:
        """Make the victim slow and make it report no load."""
        deployment.change(
            BehaviorChange(
                upstream=victim, reported_load=0, median_ms=self.median_ms * self.slowdown_factor
            )
        )

    def end(self, deployment: ServingDeployment, victim: str) -> None:
        """Restore the victim's service times and its actual load reports."""
        deployment.change(
            BehaviorChange(upstream=victim, truthful_load=True, median_ms=self.median_ms)
        )
