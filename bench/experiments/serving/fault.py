"""Faults of one upstream."""

from typing import Protocol

from bench.experiments.serving.serving_deployment import ServingDeployment


class Fault(Protocol):
    """A fault that can begin and end while load is offered."""

    name: str

    def begin(self, deployment: ServingDeployment, victim: str) -> None:
        """Cause the fault at an upstream."""

    def end(self, deployment: ServingDeployment, victim: str) -> None:
        """End the fault."""
