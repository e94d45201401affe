"""A fleet with instances of different builds."""

import pathlib

from tests.fleet.loopback_fleet import LoopbackFleet

from bench.build import Build
from bench.process import Process


class MixedFleet(LoopbackFleet):
    """Starts each instance from its build in `builds`, which is keyed by instance name."""

    def __init__(self, folder: pathlib.Path, builds: dict[str, Build]) -> None:
        super().__init__(folder)
        self.builds = builds

    def start(self, *names: str, bootstrap: bool = True) -> None:
        """Write the settings of each instance and start it from its build."""
        for name in names:
            path = self.folder / f"{name}.ini"
            self.write_settings(name, bootstrap)
            environment = {"DAMASKSPINDLE_BOOT": str(path), **self.builds[name].environment()}
            log = self.folder / f"{name}.log"
            self.processes[name] = Process(name, self.module, [], log, environment)
            self.processes[name].start()
