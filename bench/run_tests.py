"""Runs all test modules in parallel; failures of known red tests are printed but tolerated."""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator

from gevent.pool import Pool
from gevent.subprocess import Popen

from bench.ports import SLICE_VARIABLE

KNOWN_RED = pathlib.Path("KNOWN-RED.txt")
FIELD_SEPARATOR = "|"
TESTS = pathlib.Path("tests")
# Parts of the names of modules that mostly wait for real processes; they start first.
START_FIRST = ("integration", "test_soak")
WORKERS = 4


def read_known_red(path: pathlib.Path) -> frozenset[str]:
    """Return the test ids in the first column of the file of known red tests."""
    rows = [line for line in path.read_text().splitlines() if line and not line.startswith("#")]
    return frozenset(row.split(FIELD_SEPARATOR)[0].strip() for row in rows)


def test_modules() -> list[str]:
    """Return the names of all test modules, those that match `START_FIRST` first."""
    names = [".".join(path.with_suffix("").parts) for path in sorted(TESTS.rglob("test_*.py"))]
    return sorted(names, key=lambda name: (not any(part in name for part in START_FIRST), name))


class ModuleRun:
    """The run of one test module in a process of its own."""

    def __init__(self, name: str, folder: pathlib.Path) -> None:
        self.name = name
        self.results = folder / f"{name}.json"
        self.output = folder / f"{name}.txt"
        self.ran: set[str] = set()
        self.failed: set[str] = set()

    def run(self, slot: int) -> None:
        """Run the module and read its outcomes; it counts as failed if there are none."""
        started = time.monotonic()
        environment = {**os.environ, SLICE_VARIABLE: f"{slot}/{WORKERS}"}
        command = [sys.executable, "-m", "bench.run_module", self.name, str(self.results)]
        with self.output.open("wb") as output:
            process = Popen(command, env=environment, stdout=output, stderr=subprocess.STDOUT)
            process.wait()
        if self.results.exists():
            outcomes = json.loads(self.results.read_text())
            self.ran, self.failed = set(outcomes["ran"]), set(outcomes["failed"])
        else:
            self.failed = {self.name}
        took_s = time.monotonic() - started
        print(f"{took_s:6.1f} s  {len(self.ran):4} tests  {self.name}", flush=True)
        if self.failed:
            print(self.output.read_text(errors="replace"), flush=True)


def run_all(folder: pathlib.Path) -> Iterator[ModuleRun]:
    """Run all modules, at most `WORKERS` at a time, and yield each when it has ended."""
    free_slots = list(range(WORKERS))
    runs = [ModuleRun(name, folder) for name in test_modules()]
    pool = Pool(WORKERS)

    def run_in_slot(run: ModuleRun) -> ModuleRun:
        slot = free_slots.pop()
        try:
            run.run(slot)
        finally:
            free_slots.append(slot)
        return run

    yield from pool.imap_unordered(run_in_slot, runs)


def main() -> int:
    """Run the tests; return 0 if every failed test is a known red one."""
    known = read_known_red(KNOWN_RED)
    ran: set[str] = set()
    failed: set[str] = set()
    with tempfile.TemporaryDirectory() as folder:
        for run in run_all(pathlib.Path(folder)):
            ran |= run.ran
            failed |= run.failed
    new = sorted(failed - known)
    for test_id in sorted(failed & known):
        print(f"known red: {test_id}")
    for test_id in sorted(known - failed):
        print(f"listed as red but did not fail: {test_id}")
    for test_id in new:
        print(f"failed: {test_id}")
    print(f"{len(ran - failed)} passed, {len(new)} failed", flush=True)
    return 1 if new or not ran else 0


if __name__ == "__main__":
    sys.exit(main())
