"""Faults of one upstream."""

from typing import Protocol

from bench.experiments.serving.serving_deployment import ServingDeployment


class Fault(Protocol):
    """A fault of an upstream that can be started and ended while load is offered."""

    name: str

    def begin(self, deployment: ServingDeployment, victim: str) -> None:
        """Start the fault at the upstream `victim`."""

    def end(self, deployment: ServingDeployment, victim: str) -> None:
        """End the fault at the upstream `victim`."""
