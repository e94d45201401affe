"""Starts the project's programs as the deploy file says, on loopback addresses."""

import asyncio
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
from typing import Any

from standins.http import Message, call
from standins.proxy import Proxy
from standins.record import Record

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TEMPLATE = "template"
_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([\w.]+)\}\}")
# The bounds of kervadec-marelle.
CONTRACT = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "stabilityWindowMs": 4000,
    "ackMs": 5000,
    "recoveryS": 4,
    "drainMs": 3000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "downgradeSlackMs": 250,
    "maxSkewMs": 12000,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetBurst": 52,
    "recoverS": 12,
}


def prefix() -> str:
    """Return the first two numbers of loopback addresses that no other case uses now."""
    for number in range(1, 255):
        octet = (os.getpid() * 7 + number) % 254 + 1
        with socket.socket() as sock:
            try:
                sock.bind((f"127.{octet}.1.1", 9464))
            except OSError:
                continue
            return f"127.{octet}"
    raise RuntimeError("no free loopback addresses")


def free_ports(count: int) -> list[int]:
    """Return free ports below those that the system hands out."""
    found: list[int] = []
    port = 7000 + os.getpid() % 2000
    while len(found) < count:
        port += 1
        with socket.socket() as sock:
            try:
                sock.bind(("0.0.0.0", port))
            except OSError:
                continue
        found.append(port)
    return found


class Fleet:
    """Machines `core-N` and `front-N`, each on its own loopback address.

    With `proxied`, all messages between machines pass a proxy: each process listens at its
    own address and is known to the others by that of its proxy (`advertise`).
    """

    def __init__(self, record: Record, ip_prefix: str, list_port: int, proxied: bool) -> None:
        self.record = record
        self.ip_prefix = ip_prefix
        self.list_address = f"{ip_prefix}.3.1:{list_port}"
        self.proxied = proxied
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-case-"))
        self.mesh_port, self.operator_port, self.front_port, self.ready_port = free_ports(4)
        self.roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.proxies: dict[str, Proxy] = {}
        self.seeds = (1, 2, 3)

    def ip(self, name: str) -> str:
        """Return the address of a machine."""
        kind, number = name.split("-")
        return f"{self.ip_prefix}.{1 if kind == 'core' else 2}.{number}"

    def mesh_ip(self, name: str) -> str:
        """Return the address at which others reach a machine's mesh."""
        kind, number = name.split("-")
        near = 1 if kind == "core" else 2
        return f"{self.ip_prefix}.{near + 100 if self.proxied else near}.{number}"

    def write_settings(self, name: str, bootstrap: bool) -> pathlib.Path:
        """Write the settings file from the template of the role, as the platform does."""
        ip = self.ip(name)
        is_core = name.startswith("core")
        fields: dict[str, Any] = {
            "nodeName": name,
            "role": "control" if is_core else "entry",
            "machineClass": "core" if is_core else "front",
            "ip": ip,
            "zone": "rennes-a",
            "region": "bretagne",
            "internalPortRange": [self.mesh_port, self.mesh_port],
            "seeds": [f"{self.mesh_ip(f'core-{n}')}:{self.operator_port}" for n in self.seeds],
            "bootstrap": bootstrap,
            "provider": {"address": self.list_address, "ratePerS": 46.0, "lagMs": 800},
            "contractParams": CONTRACT,
            "listen": {"front": f"{ip}:{self.front_port}", "ready": f"{ip}:{self.ready_port}"},
        }
        if is_core:
            fields["listen"] = {"control": f"{ip}:{self.operator_port}"}
            fields["dataDir"] = str(self.folder / f"{name}.data")
        text = render((ROOT / self.role(name)[TEMPLATE]).read_text(), fields)
        if self.proxied:
            address = f"tcp://{self.mesh_ip(name)}:{self.mesh_port}"
            text = text.replace("[mesh]\n", f"[mesh]\nadvertise = {address}\n")
        path = self.folder / f"{name}.settings"
        path.write_text(text)
        return path

    def role(self, name: str) -> dict[str, Any]:
        """Return the role of a machine from the deploy file."""
        found: dict[str, Any] = self.roles["control" if name.startswith("core") else "entry"]
        return found

    async def start(self, *names: str, bootstrap: bool = True) -> None:
        """Start processes with the command and the environment of the deploy file."""
        for name in names:
            if self.proxied and name not in self.proxies:
                self.proxies[name] = Proxy(self.mesh_ip(name), self.mesh_port, self.ip(name))
                await self.proxies[name].start()
            path = self.write_settings(name, bootstrap)
            role = self.role(name)
            kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
            environment = {
                **kept,
                "PYTHONPATH": str(ROOT / "target/deps"),
                "DAMASKSPINDLE_BOOT": str(path),
                **role.get("env", {}),
            }
            with (self.folder / f"{name}.log").open("ab") as log:
                self.processes[name] = subprocess.Popen(
                    role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
                )
            self.record.add("start", machine=name, bootstrap=bootstrap)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this case started."""
        self.record.add("signal", machine=name, signal=number.name)
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    def close(self) -> None:
        """End all processes, and remove the folder unless KEEP is set."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP"):
            print(f"kept: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def log(self, name: str) -> list[dict[str, Any]]:
        """Return the log lines of a process."""
        text = (self.folder / f"{name}.log").read_text(errors="replace")
        return [json.loads(line) for line in text.splitlines() if line.startswith("{")]

    async def is_ready(self, name: str) -> bool:
        """Return whether a machine tells the platform that it is ready."""
        return (await call(self.ip(name), self.ready_port, "GET", "/api/ready")).status == 200

    async def wait_ready(self, *names: str, timeout_s: float = 30.0) -> bool:
        """Wait until all these machines are ready; return whether they are."""
        end = self.record.now() + timeout_s
        while self.record.now() < end:
            if all([await self.is_ready(name) for name in names]):
                return True
            await asyncio.sleep(0.2)
        return False

    async def replace_config(
        self, document: dict[str, Any], cores: tuple[str, ...], timeout_s: float
    ) -> bool:
        """Send a configuration as the operator does; return whether it was acknowledged."""
        body = json.dumps(document).encode()
        headers = {"Content-Type": "application/json"}
        end, tries = self.record.now() + timeout_s, 0
        while self.record.now() < end:
            name = cores[tries % len(cores)]
            tries += 1
            answer = await call(
                self.ip(name), self.operator_port, "POST", "/api/Config.Replace", headers, body, 1.0
            )
            self.record.add(
                "config", version=document["version"], to=name, status=answer.status
            )
            if answer.status == 200:
                return True
            await asyncio.sleep(min(1.0, 0.1 * tries))
        return False

    async def read_config(self, name: str) -> tuple[int, int]:
        """Read the configuration at one machine; return the status and the version."""
        answer = await call(self.ip(name), self.operator_port, "GET", "/api/Config.Get")
        version = json.loads(answer.body)["version"] if answer.status == 200 else 0
        self.record.add("read-config", at=name, status=answer.status, version=version)
        return answer.status, version

    async def ask(
        self,
        name: str,
        host: str,
        path: str,
        request_id: str,
        deadline_ms: int,
        method: str = "GET",
        body: bytes = b"",
    ) -> Message:
        """Send a request of a client on a new connection."""
        headers = {
            "Host": host,
            "Damaskspindle-Request-Id": request_id,
            "Damaskspindle-Deadline-Ms": str(deadline_ms),
        }
        self.record.add("sent", to=name, path=path, id=request_id, deadline_ms=deadline_ms)
        answer = await call(
            self.ip(name), self.front_port, method, path, headers, body, deadline_ms / 1000
        )
        self.record.add(
            "answered",
            id=request_id,
            status=answer.status,
            stamp=answer.header("Damaskspindle-Server-Stamp"),
            parts=answer.header("Damaskspindle-Part-Stamps"),
            missing=answer.header("Damaskspindle-Missing-Parts"),
            retry_after=answer.header("Retry-After"),
        )
        return answer


def render(text: str, fields: dict[str, Any]) -> str:
    """Fill in a template: values and sections, as DEPLOY.md describes them."""
    text = _SECTION.sub(lambda match: match[2] if _lookup(fields, match[1]) else "", text)
    return _VALUE.sub(lambda match: _text(_lookup(fields, match[1])), text)


def _lookup(fields: Any, path: str) -> Any:
    for part in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(part)] if int(part) < len(fields) else None
        else:
            fields = (fields or {}).get(part)
    return fields


def _text(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return str(value).lower()
    return ",".join(map(str, value)) if isinstance(value, list) else str(value)
