"""One process of a deployment under test."""

import os
import pathlib
import signal
import subprocess
import sys


class Process:
    """Starts a module of the tree as a process and signals it by its id."""

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
        """Tell whether the process was started and has not ended."""
        return self.child is not None and self.child.poll() is None

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.running and self.child is not None:
            os.kill(self.child.pid, number)

    def kill(self) -> None:
        """End the process at once, as a crash would."""
        self.send_signal(signal.SIGKILL)
        self.wait(10.0)

    def suspend(self) -> None:
        """Suspend the process."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process."""
        self.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask for a planned stop."""
        self.send_signal(signal.SIGTERM)

    def wait(self, timeout_s: float) -> int:
        """Wait for the end and return the exit code; raise `TimeoutExpired` otherwise."""
        assert self.child is not None
        return self.child.wait(timeout_s)
