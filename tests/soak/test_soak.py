"""Runs one short seed of the soak with real processes."""

import pathlib
import tempfile
import unittest

from tests.soak.episode_settings import SHORT
from tests.soak.soak import Soak

SEED = 7
# Every episode makes at least this many checks, whatever its faults are.
MIN_CHECKS = 500


class TestSoak(unittest.TestCase):
    def test_short_seed_violates_no_promise(self) -> None:
        with tempfile.TemporaryDirectory(prefix="spindle-soak-") as folder:
            results = Soak(SEED, pathlib.Path(folder), SHORT).run(until=0.0)
        self.assertEqual(results.violations, [])
        self.assertGreater(results.checks.total(), MIN_CHECKS)
        self.assertGreaterEqual(results.faults.total(), SHORT.min_faults)
