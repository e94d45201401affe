"""A fleet with instances of different builds."""

import pathlib

from tests.fleet.loopback_fleet import LoopbackFleet

from bench.build import Build


class MixedFleet(LoopbackFleet):
    """Starts each instance from its build in `builds`, which is keyed by instance name."""

    def __init__(self, folder: pathlib.Path, builds: dict[str, Build]) -> None:
        super().__init__(folder)
        self.builds = builds

    def environment_of(self, name: str) -> dict[str, str]:
        """Return the variables with which a process imports its build."""
        return self.builds[name].environment()
