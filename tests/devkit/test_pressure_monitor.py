"""The pressure of a time is that of its own samples."""

import unittest

from bench.pressure_monitor import PressureMonitor
from nose2.tools import params


class TestPressureMonitor(unittest.TestCase):
    @params(
        ("calm second", 0.0, 1.0, 0.0),
        ("busy second", 1.0, 2.0, 0.9),
        ("both", 0.0, 2.0, 0.45),
        ("between two samples", 1.2, 1.4, 0.9),
        ("after a busy time", 2.0, 3.0, 0.0),
        ("before the first sample", -5.0, -1.0, 0.0),
    )
    def test_share(self, _what: str, started: float, ended: float, expected: float) -> None:
        monitor = PressureMonitor()
        for at, total_s in ((0.0, 5.0), (1.0, 5.0), (2.0, 5.9), (3.0, 5.9)):
            monitor.add_sample(at, total_s)
        self.assertAlmostEqual(monitor.pressure(started, ended), expected)
