"""CPU time of a process."""

import os
import pathlib

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_USER_FIELD = 11
_SYSTEM_FIELD = 12


def process_cpu_s(pid: int) -> float:
    """Return the user and system CPU seconds of a process; 0 if it has ended."""
    try:
        text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0.0
    fields = text.rpartition(")")[2].split()
    return (int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])) / _TICKS_PER_S
