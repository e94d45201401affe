"""One short seed of the soak with real processes."""

import pathlib
import tempfile
import unittest

from tests.soak.plan import SHORT
from tests.soak.soak import Soak

SEED = 7
# The kinds of checks that an episode makes whatever its faults are.
LEAST_CHECKS = 500


class TestSoak(unittest.TestCase):
    def test_a_short_seed_breaks_no_promise(self) -> None:
        with tempfile.TemporaryDirectory(prefix="spindle-soak-") as folder:
            ledger = Soak(SEED, pathlib.Path(folder), SHORT).run(until=0.0)
        self.assertEqual(ledger.broken, [])
        self.assertGreater(ledger.checks.total(), LEAST_CHECKS)
        self.assertGreaterEqual(ledger.faults.total(), SHORT.fewest)
