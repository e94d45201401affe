"""Faults of processes: kill, empty disk, graceful shutdown, suspension, changed settings."""

import shutil
import signal
import time

import gevent

from tests.soak import const
from tests.soak.fault_generator import FaultGenerator, FaultKind
from tests.soak.host_monitor import HostMonitor
from tests.soak.ledger import CheckResults
from tests.soak.process_monitor import ProcessMonitor
from tests.soak.soak_environment import SoakEnvironment

STOP_POLL_INTERVAL_S = 0.05


class ProcessFaults:
    """Signals processes and starts them again.

    `touched` counts the actions on each process, to detect whether another fault disturbed
    a graceful shutdown.
    """

    def __init__(
        self,
        environment: SoakEnvironment,
        results: CheckResults,
        process_monitor: ProcessMonitor,
        host_monitor: HostMonitor,
    ) -> None:
        self.environment = environment
        self.host_monitor = host_monitor
        self.results = results
        self.process_monitor = process_monitor
        self.touched: dict[str, int] = dict.fromkeys(environment.names, 0)

    def kinds(self) -> dict[str, FaultKind]:
        """Return the faults by kind."""
        return {
            "kill": (self.environment.names, self.kill),
            "kill-all-controls": (("all",), self.kill_all_controls),
            "kill-everything": (("all",), self.kill_everything),
            "empty-disk": (const.CONTROLS, self.empty_disk),
            "planned-stop": (self.environment.names, self.graceful_shutdown),
            "freeze": (self.environment.names, self.suspend),
            "new-settings": (self.environment.names, self.new_settings),
        }

    def kill(self, name: str) -> FaultGenerator:
        """Kill a process; restart it with its disk."""
        self._kill(name)
        yield
        self._restart(name)

    def kill_all_controls(self, _target: str) -> FaultGenerator:
        """Kill all control instances together."""
        yield from self._kill_many(const.CONTROLS)

    def kill_everything(self, _target: str) -> FaultGenerator:
        """Kill all instances together."""
        yield from self._kill_many(self.environment.names)

    def empty_disk(self, name: str) -> FaultGenerator:
        """Kill a control instance; restart it with an empty disk."""
        self._kill(name)
        shutil.rmtree(self.environment.fleet.folder / name, ignore_errors=True)
        yield
        self._restart(name)

    def graceful_shutdown(self, name: str) -> FaultGenerator:
        """Check that an instance stops in time on SIGTERM, then restart it."""
        process = self.environment.fleet.processes[name]
        self._touch(name)
        if not process.running:
            yield
            return
        self.process_monitor.expected_exits.add(name)
        touched, child, started_at = self.touched[name], process.child, time.monotonic()
        is_starting = (
            time.monotonic() - self.environment.started_at[name] < const.STARTUP_DURATION_S
        )
        process.terminate()
        with gevent.Timeout(const.SHUTDOWN_TIMEOUT_S + const.TIMING_TOLERANCE_S, False):
            while process.running:
                gevent.sleep(STOP_POLL_INTERVAL_S)
        undisturbed = touched == self.touched[name]
        if (
            undisturbed
            and child is not None
            and not self.process_monitor.has_lost_disk(name, child.pid)
        ):
            exit_code = child.poll()
            expected_codes = (0, -signal.SIGTERM) if is_starting else (0,)
            late = exit_code is None and not self.host_monitor.no_overload_since(started_at)
            holds = None if late else exit_code in expected_codes
            self.results.check_or_skip(
                "a planned stop ends well and in time", holds, (name, exit_code)
            )
        yield
        self._kill(name)
        self._restart(name)

    def suspend(self, name: str) -> FaultGenerator:
        """Suspend a process with SIGSTOP and resume it."""
        self._touch(name)
        self.environment.fleet.processes[name].suspend()
        yield
        self.environment.fleet.processes[name].resume()

    def new_settings(self, name: str) -> FaultGenerator:
        """Change the seeds and send SIGHUP; restore them without a signal."""
        self._touch(name)
        self.environment.fleet.write_settings(name, False, (3, 2))
        self.environment.fleet.processes[name].send_signal(signal.SIGHUP)
        yield
        self.environment.fleet.write_settings(name, False)

    def _kill_many(self, names: tuple[str, ...]) -> FaultGenerator:
        for name in names:
            self._kill(name)
        yield
        for name in names:
            self._restart(name)

    def _kill(self, name: str) -> None:
        self._touch(name)
        self.process_monitor.expected_exits.add(name)
        self.environment.fleet.processes[name].kill()

    def _restart(self, name: str) -> None:
        self.environment.start_instance(name)
        self.process_monitor.expected_exits.discard(name)

    def _touch(self, name: str) -> None:
        self.touched[name] += 1
