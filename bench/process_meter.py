"""CPU time and memory of running processes."""

import dataclasses
import os
import pathlib

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
FIELD_UTIME = 11
FIELD_STIME = 12
BYTES_PER_KB = 1024
US_PER_S = 1_000_000
PRESSURE = pathlib.Path("/proc/pressure/cpu")


@dataclasses.dataclass(frozen=True)
class ProcessUse:
    """The CPU seconds of a process since its start and its current resident bytes."""

    cpu_s: float
    resident_bytes: int


def process_use(pid: int) -> ProcessUse:
    """Return the CPU time and memory of a process; raises `OSError` if it is not running."""
    folder = pathlib.Path("/proc") / str(pid)
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[FIELD_UTIME]) + int(fields[FIELD_STIME])
    return ProcessUse(ticks / TICKS_PER_S, _resident(folder / "status"))


def cpu_pressure_s() -> float:
    """Return the total time in which some process of the machine waited for a CPU.

    Returns 0 if the kernel does not provide pressure figures.
    """
    if not PRESSURE.exists():
        return 0.0
    return int(PRESSURE.read_text().split("total=")[1].split()[0]) / US_PER_S


def _resident(path: pathlib.Path) -> int:
    for line in path.read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * BYTES_PER_KB
    return 0
