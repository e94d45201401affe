"""Runs one test module and writes its outcomes to a file."""

import json
import pathlib
import sys

import nose2

from bench.outcomes_plugin import OutcomesPlugin


def main(module: str, results: pathlib.Path) -> int:
    """Run the module; return 0 in any case, as the outcomes are in the file."""
    nose2.discover(argv=["nose2", "-s", ".", module], plugins=["bench.outcomes_plugin"], exit=False)
    outcomes = {"ran": sorted(OutcomesPlugin.ran), "failed": sorted(OutcomesPlugin.failed)}
    results.write_text(json.dumps(outcomes))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], pathlib.Path(sys.argv[2])))
