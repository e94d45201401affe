import random
import unittest

from nose2.tools import params

from spindle_devkit.upstream.behavior import Behavior
from spindle_devkit.upstream.service_times import ServiceTimes

DRAWS = 2_000


def draws(seed: int, ratio: float = 0.02, median_ms: float = 10.0) -> list[float]:
    behavior = Behavior(
        snapshots=frozenset(),
        median_ms=median_ms,
        straggler_ratio=ratio,
        straggler_factor=20.0,
        cold_until=0.0,
    )
    times = ServiceTimes(random.Random(seed), 0.1, 0.0, 5.0)
    return [times.draw_s(behavior, 0.0) for _ in range(DRAWS)]


class TestServiceTimes(unittest.TestCase):
    def test_equal_seeds_give_equal_times(self) -> None:
        self.assertEqual(draws(7), draws(7))
        self.assertNotEqual(draws(7), draws(8))

    @params(0.0, 0.02, 0.5)
    def test_straggler_ratio_is_respected(self, ratio: float) -> None:
        slow = sum(value > 0.1 for value in draws(7, ratio))
        self.assertAlmostEqual(slow / DRAWS, ratio, delta=0.03)

    def test_changed_stragglers_shift_no_other_draw(self) -> None:
        pairs = zip(draws(7, 0.0), draws(7, 0.02), strict=True)
        self.assertTrue(all(slow in (fast, fast * 20.0) for fast, slow in pairs))

    @params((0.0, 5.0), (5.0, 3.0), (10.0, 1.0))
    def test_cold_start_factor_decreases_to_1(self, now: float, factor: float) -> None:
        behavior = Behavior(frozenset(), 1000.0, 0.0, 1.0, cold_until=10.0)
        times = ServiceTimes(random.Random(1), 0.0, 10.0, 5.0)
        self.assertAlmostEqual(times.draw_s(behavior, now), factor)
