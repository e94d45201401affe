"""Real processes of a fleet on loopback addresses, with stand-ins for platform and upstreams."""

import json
import pathlib
import random
import tempfile
import time
import unittest
from collections.abc import Callable
from typing import Any, TypeVar

import gevent
from bench.ports import free_ports
from bench.process import Process
from geventhttpclient import HTTPClient

from tests.daemon.routed.common import Answer, Request, ScriptedUpstream, read_answer, request_bytes
from tests.platform.template import render
from tests.platform.test_plan_codec import DOCUMENT, LOOKUP
from tests.platform.test_settings import FIELDS
from tests.platform.test_upstream_source import GOOD, Platform

WAIT_S = 20.0
HOST = "one.example"
ValueT = TypeVar("ValueT")


def echo(request: Request) -> bytes:
    """Answer with the request line."""
    return request.answer(request.line.encode())


class FleetCase(unittest.TestCase):
    """Three control and some entry instances, each on a loopback address of its own."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="spindle-fleet-")
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        # The metrics port is the same for all, so each test has addresses of its own.
        self.network = random.randrange(1, 255)
        self.mesh, self.operator, self.front, self.ready = free_ports(4)
        self.platform = Platform()
        self.addCleanup(self.platform.server.stop)
        self.upstreams = [ScriptedUpstream(f"i-{number}", "s0", echo) for number in range(2)]
        self.list_upstreams()
        self.processes: dict[str, Process] = {}
        self.addCleanup(self.kill_all)

    def list_upstreams(self) -> None:
        """Have the platform list the upstreams."""
        entries = [
            {**GOOD, "id": item.name, "address": f"127.0.0.1:{item.server.server_port}"}
            for item in self.upstreams
        ]
        self.platform.serve("", entries)

    def kill_all(self) -> None:
        """End all processes and the upstreams."""
        for process in self.processes.values():
            process.kill()
        for upstream in self.upstreams:
            upstream.server.stop()

    def ip(self, name: str) -> str:
        """Return the loopback address of a process."""
        kind, number = name.split("-")
        return f"127.{self.network}.{1 if kind == 'core' else 2}.{number}"

    def write_settings(self, name: str, founding: bool, seeds: tuple[int, ...] = (1, 2, 3)) -> None:
        """Write the settings file of a process as the platform would."""
        ip = self.ip(name)
        control = name.startswith("core")
        fields: dict[str, Any] = {
            **FIELDS,
            "nodeName": name,
            "role": "control" if control else "entry",
            "ip": ip,
            "internalPortRange": [self.mesh, self.mesh],
            "seeds": [f"127.{self.network}.1.{number}:{self.operator}" for number in seeds],
            "bootstrap": founding,
            "provider": {"address": f"127.0.0.1:{self.platform.server.server_port}"},
            "listen": {"front": f"{ip}:{self.front}", "ready": f"{ip}:{self.ready}"},
        }
        if control:
            fields["listen"] = {"control": f"{ip}:{self.operator}"}
            fields["dataDir"] = str(self.folder / name)
        (self.folder / f"{name}.ini").write_text(render(fields))

    def start(self, *names: str, founding: bool = True) -> None:
        """Start processes, with settings if they have none."""
        for name in names:
            path = self.folder / f"{name}.ini"
            self.write_settings(name, founding)
            environment = {"DAMASKSPINDLE_BOOT": str(path)}
            log = self.folder / f"{name}.log"
            self.processes[name] = Process(name, "start", [], log, environment)
            self.processes[name].start()

    def events(self, name: str, event: str) -> list[dict[str, Any]]:
        """Return the log lines of an event of a process."""
        lines = (self.folder / f"{name}.log").read_text(errors="replace").splitlines()
        rows = [json.loads(line) for line in lines if line.startswith("{")]
        return [row for row in rows if row.get("event") == event]

    def call(
        self, method: str, ip: str, port: int, path: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        """Call an endpoint; status 0 means that there was no answer."""
        client = HTTPClient(ip, port, connection_timeout=2.0, network_timeout=2.0)
        try:
            response = client.request(method, path, body)
            return response.status_code, bytes(response.read())
        except (OSError, ValueError):
            return 0, b""
        finally:
            client.close()

    def replace(self, name: str, document: bytes) -> int:
        """Send a plan to a control instance."""
        return self.call("POST", self.ip(name), self.operator, "/api/Config.Replace", document)[0]

    def read(self, name: str) -> tuple[int, bytes]:
        """Read the plan at a control instance."""
        return self.call("GET", self.ip(name), self.operator, "/api/Config.Get")

    def is_ready(self, name: str) -> bool:
        """Return whether an entry instance wants new connections."""
        return self.call("GET", self.ip(name), self.ready, "/api/ready")[0] == 200

    def ask(self, name: str, target: str = "/a/1") -> Answer:
        """Send a request to an entry instance."""
        try:
            sock = gevent.socket.create_connection((self.ip(name), self.front), 2.0)
        except OSError:
            return Answer(b"", complete=False)
        with sock:
            sock.settimeout(5.0)
            try:
                sock.sendall(request_bytes(target, Host=HOST))
                return read_answer(sock)
            except ConnectionError:
                return Answer(b"", complete=False)

    def until(self, what: str, check: Callable[[], ValueT]) -> ValueT:
        """Return the first result of `check` that is true; fail after a while."""
        deadline = time.monotonic() + WAIT_S
        while time.monotonic() < deadline:
            result = check()
            if result:
                return result
            gevent.sleep(0.05)
        raise AssertionError(f"never came: {what}")


def document(version: int, prefix: str = "/a/") -> bytes:
    """Return a configuration with one lookup route."""
    route = {**LOOKUP, "pathPrefix": prefix}
    return json.dumps({**DOCUMENT, "version": version, "routes": [route]}).encode()
