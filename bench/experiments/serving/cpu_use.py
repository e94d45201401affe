"""CPU use of a deployment by role."""

import os
import time

from bench.experiments.figures import Figures
from bench.experiments.serving.cpu_meter import process_cpu_s
from bench.experiments.serving.serving_deployment import ServingDeployment


class CpuUse:
    """Measures the CPU use of the running processes from its construction on."""

    def __init__(self, deployment: ServingDeployment) -> None:
        self.pids: dict[str, list[int]] = {"entry": [], "control": [], "standin": []}
        for name, process in deployment.processes.items():
            if process.child is not None:
                self.pids[name.partition("-")[0]].append(process.child.pid)
        self.pids["load"] = [os.getpid()]
        self.started = time.monotonic()
        self.at_start = {pid: process_cpu_s(pid) for pids in self.pids.values() for pid in pids}

    def seconds(self, role: str) -> float:
        """Return the CPU seconds of a role so far, without processes that have ended."""
        return sum(max(0.0, process_cpu_s(pid) - self.at_start[pid]) for pid in self.pids[role])

    def figures(self) -> Figures:
        """Return the cores used and the number of processes by role."""
        took_s = time.monotonic() - self.started
        cores = {role: round(self.seconds(role) / took_s, 3) for role in self.pids}
        counts = {role: len(pids) for role, pids in self.pids.items()}
        return {
            "cores_used": cores,
            "cores_used_total": round(sum(cores.values()), 3),
            "cores_of_machine": os.cpu_count() or 0,
            "processes": counts,
        }
