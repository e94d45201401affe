"""Runs every test, passes over the known red ones and prints them."""

import pathlib
import sys

import nose2

from bench.outcomes_plugin import OutcomesPlugin

KNOWN_RED = pathlib.Path("KNOWN-RED.txt")
FIELD_SEPARATOR = "|"


def read_known_red(path: pathlib.Path) -> frozenset[str]:
    """Return the test ids listed in the first column of the file of known red tests."""
    rows = [line for line in path.read_text().splitlines() if line and not line.startswith("#")]
    return frozenset(row.split(FIELD_SEPARATOR)[0].strip() for row in rows)


def main() -> int:
    """Run the tests; return 0 when every failure is a known red test."""
    known = read_known_red(KNOWN_RED)
    nose2.discover(argv=["nose2"], plugins=["bench.outcomes_plugin"], exit=False)
    ran, failed = OutcomesPlugin.ran, OutcomesPlugin.failed
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
