"""A fault proxy process in front of some ports."""

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
    """Leads ways through a process of its own; `ways` are from and to which port, by name."""

    def __init__(self, name: str, admin_port: int, ports: Mapping[str, tuple[int, int]]) -> None:
        self.name = name
        self.admin_port = admin_port
        self.ports = ports

    def start(self, folder: pathlib.Path) -> Process:
        """Start the process; it takes changes a little later."""
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
        """Change one link, or all of them when none is named; see `LinkChange`."""
        body = msgspec.json.encode({"link": link, **faults})
        done = exchange(self.admin_port, "POST", PATH_LINKS, body)
        if done.status != STATUS_OK:
            raise RuntimeError(f"fault proxy answered {done.status}: {done.data!r}")

    def is_ready(self) -> bool:
        """Return true once it takes changes; raises `OSError` before."""
        self.change()
        return True
