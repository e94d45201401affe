"""A deployment of real processes under test."""

import contextlib
import os
import pathlib
import shutil
import time
from collections.abc import Callable, Iterator
from typing import TypeVar

import msgspec

from bench import deployment_files
from bench.operator_client import OperatorAnswer, OperatorClient
from bench.plan import DeploymentPlan, InstancePlan
from bench.process import Process

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
KEY = b"bench-key-of-32-bytes-0123456789"

ValueT = TypeVar("ValueT")


class Deployment:
    """Starts, kills and restarts the processes of a plan; their files are in one folder."""

    def __init__(self, plan: DeploymentPlan, folder: pathlib.Path) -> None:
        self.plan = plan
        self.folder = folder
        self.processes: dict[str, Process] = {}
        self.instances: dict[str, InstancePlan] = {
            item.name: item for item in (*plan.controls, *plan.entries)
        }
        (folder / "key").write_bytes(KEY)

    def start(self) -> None:
        """Start all processes, bootstrap, apply note 1 and wait until all entries are ready."""
        self.start_standins()
        for control in self.plan.controls:
            self.start_instance(control.name)
        self.bootstrap()
        for entry in self.plan.entries:
            self.start_instance(entry.name)
        self.apply(deployment_files.initial_note(self.plan))
        for entry in self.plan.entries:
            self.wait_ready(entry.name)

    def start_standins(self) -> None:
        """Start all stand-in processes."""
        for name in sorted({item.process for item in self.plan.upstreams}):
            self.start_standin(name)

    def start_standin(self, name: str) -> None:
        """Start or restart one stand-in process."""
        own = tuple(item for item in self.plan.upstreams if item.process == name)
        path = self.folder / f"{name}.ini"
        path.write_text(deployment_files.standin_settings(own, self.plan))
        self._start(name, "spindle_devkit.upstream", ["--config", str(path)])

    def start_instance(self, name: str) -> None:
        """Start or restart a control or entry instance."""
        path = self.folder / f"{name}.ini"
        path.write_text(
            deployment_files.instance_settings(self.plan, self.instances[name], self.folder)
        )
        self._start(name, "spindle_daemon", ["--config", str(path)])

    def bootstrap(self) -> None:
        """Create the first membership of all control instances and wait for a leader."""
        members = [
            {"name": control.name, "folder_id": identity.body["folder_id"]}
            for control in self.plan.controls
            for identity in [self.wait_answer(control.name, "/v1/identity")]
        ]
        body = msgspec.json.encode({"members": members})
        for control in self.plan.controls:
            answer = self.operator(control.name).post("/v1/bootstrap", body)
            assert answer.status == 200, answer
        self.wait_until(lambda: self.leader() or None, "a leader")

    def leader(self) -> str:
        """Return the name of the leading control instance, or an empty string."""
        for control in self.plan.controls:
            with contextlib.suppress(OSError):
                body = self.operator(control.name, 1.0).get("/v1/identity").body
                if body["role"] == "leader":
                    return control.name
        return ""

    def apply(self, note: str, control: str | None = None) -> OperatorAnswer:
        """Send a release note to a control instance, by default to the first one."""
        name = control or self.plan.controls[0].name
        return self.operator(name).post("/v1/notes", note.encode())

    def operator(self, name: str, timeout_s: float = 10.0) -> OperatorClient:
        """Return a client for the admin endpoint of an instance."""
        return OperatorClient(self.instances[name].admin_port, KEY, timeout_s)

    def wait_ready(self, name: str) -> None:
        """Wait until an instance reports that it is ready."""

        def ready() -> bool | None:
            answer = self.operator(name, 1.0).get("/readyz")
            return True if answer.status == 200 else None

        self.wait_until(ready, f"{name} to be ready")

    def wait_answer(self, name: str, path: str) -> OperatorAnswer:
        """Wait until an instance answers a request with status 200."""

        def ask() -> OperatorAnswer | None:
            answer = self.operator(name, 1.0).get(path)
            return answer if answer.status == 200 else None

        return self.wait_until(ask, f"{path} of {name}")

    def wait_until(
        self,
        probe: Callable[[], ValueT | None],
        what: str,
        timeout_s: float = START_TIMEOUT_S,
    ) -> ValueT:
        """Call `probe` until it returns a value, and return it.

        `OSError` and `msgspec.DecodeError` of the probe are ignored. Raises
        `TimeoutError` with the ends of all logs after `timeout_s`.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError, msgspec.DecodeError):
                value = probe()
                if value is not None:
                    return value
            time.sleep(POLL_INTERVAL_S)
        raise TimeoutError(f"waited {timeout_s:.0f} s for {what}; {self.log_tails()}")

    def erase_data_folder(self, name: str) -> None:
        """Delete the data folder of a control instance that is not running."""
        shutil.rmtree(self.folder / f"data-{name}")

    def stop(self) -> dict[str, int]:
        """Shut down all processes gracefully, entries first; return the exit codes by name."""
        codes = self.stop_named([item.name for item in self.plan.entries])
        return codes | self.stop_named(list(self.processes))

    def stop_named(self, names: list[str]) -> dict[str, int]:
        """Shut down the named processes gracefully and concurrently; return the exit codes."""
        running = [
            name for name in names if name in self.processes and self.processes[name].running
        ]
        for name in running:
            self.processes[name].terminate()
        return {name: self.processes[name].wait(STOP_TIMEOUT_S) for name in running}

    def kill_all(self) -> None:
        """Kill every process, including suspended ones."""
        for process in self.processes.values():
            process.resume()
            if process.running:
                process.kill()

    def log_tails(self, size: int = 1500) -> str:
        """Return the last `size` characters of each log, for failure messages."""
        tails = []
        for path in sorted(self.folder.glob("*.log")):
            tails.append(f"--- {path.name}\n{path.read_text(errors='replace')[-size:]}")
        return "\n".join(tails)

    def environment_of(self, _name: str) -> dict[str, str]:
        """Return the variables that a process gets beside those of this one."""
        return {}

    def wait_versions(self, version: int, names: list[str]) -> None:
        """Wait until one control instance has reports of a version from all named entries."""

        def confirmed() -> bool | None:
            return True if any(map(has_confirmed, self.plan.controls)) else None

        def has_confirmed(control: InstancePlan) -> bool:
            if not self.processes[control.name].running:
                return False
            try:
                rows = self.operator(control.name, 1.0).get("/v1/reports").body
            except OSError:
                return False
            versions = {row["live"]["instance"]: row["config_version"] for row in rows}
            return all(versions.get(name, 0) >= version for name in names)

        self.wait_until(confirmed, f"version {version} at {names}")

    def apply_until_accepted(self, note: str, control: str) -> OperatorAnswer:
        """Send a note until it is accepted, as the command line does after a lost answer."""

        def send() -> OperatorAnswer | None:
            answer = self.apply(note, control)
            return answer if answer.status == 200 else None

        return self.wait_until(send, "the note to be accepted")

    def _start(self, name: str, module: str, arguments: list[str]) -> None:
        log = self.folder / f"{name}.log"
        process = Process(name, module, arguments, log, self.environment_of(name))
        process.start()
        self.processes[name] = process


@contextlib.contextmanager
def running_deployment(plan: DeploymentPlan, folder: pathlib.Path) -> Iterator[Deployment]:
    """Start a deployment; all processes are killed at the end, also after an error."""
    os.makedirs(folder, exist_ok=True)
    deployment = Deployment(plan, folder)
    try:
        deployment.start()
        yield deployment
    finally:
        deployment.kill_all()
