"""A process that runs the fault proxy."""

import pathlib
from collections.abc import Mapping

import msgspec

from bench.deployment_files import render_ini
from bench.http_exchange import exchange
from bench.ports import LOOPBACK
from bench.process import Process
from spindle_devkit.proxy.const import PATH_LINKS

STATUS_OK = 200


class FaultProxy:
    """Runs a fault proxy; `ports` are the listening and the target port by link name."""

    def __init__(self, name: str, admin_port: int, ports: Mapping[str, tuple[int, int]]) -> None:
        self.name = name
        self.admin_port = admin_port
        self.ports = ports

    def start(self, folder: pathlib.Path) -> Process:
        """Start the process; it accepts changes once `is_ready` returns."""
        sections = {"proxy": {"listen": f"{LOOPBACK}:{self.admin_port}"}}
        for name, (listen_port, target_port) in self.ports.items():
            sections[f"link {name}"] = {
                "listen": f"{LOOPBACK}:{listen_port}",
                "target": f"{LOOPBACK}:{target_port}",
            }
        path = folder / f"{self.name}.ini"
        path.write_text(render_ini(sections))
        arguments = ["--config", str(path)]
        log = folder / f"{self.name}.log"
        process = Process(self.name, "spindle_devkit.proxy", arguments, log)
        process.start()
        return process

    def change(self, link: str = "", **faults: object) -> None:
        """Change one link, or all links if none is named; see `LinkChange`.

        Raises `RuntimeError` if the proxy refuses the change.
        """
        body = msgspec.json.encode({"link": link, **faults})
        done = exchange(self.admin_port, "POST", PATH_LINKS, body)
        if done.status != STATUS_OK:
            raise RuntimeError(
                f"fault proxy refused a change with status {done.status}: {done.data!r}"
            )

    def is_ready(self) -> bool:
        """Return true once the proxy accepts changes; raises `OSError` before."""
        self.change()
        return True
