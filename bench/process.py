"""A process of a deployment under test."""

import os
import pathlib
import signal
import subprocess
import sys


class Process:
    """Runs a Python module as a process and sends signals to it by its id."""

    def __init__(
        self,
        name: str,
        module: str,
        arguments: list[str],
        log: pathlib.Path,
        environment: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self.command = [sys.executable, "-m", module, *arguments]
        self.log = log
        self.environment = {**os.environ, **(environment or {})}
        self.child: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process; its output goes to the log file."""
        with self.log.open("ab") as output:
            self.child = subprocess.Popen(
                self.command,
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
                env=self.environment,
            )

    @property
    def running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.child is not None and self.child.poll() is None

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.running and self.child is not None:
            os.kill(self.child.pid, number)

    def kill(self) -> None:
        """Kill the process with SIGKILL, which simulates a crash."""
        self.send_signal(signal.SIGKILL)
        self.wait(10.0)

    def suspend(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process with SIGCONT."""
        self.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a graceful shutdown with SIGTERM."""
        self.send_signal(signal.SIGTERM)

    def wait(self, timeout_s: float) -> int:
        """Wait for the exit and return its code; raise `TimeoutExpired` after `timeout_s`."""
        assert self.child is not None
        return self.child.wait(timeout_s)
