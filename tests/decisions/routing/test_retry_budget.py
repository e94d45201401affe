"""The budget of repeats that all instances share."""

import random
import unittest

from nose2.tools import params

from spindle_decisions.routing.retry_budget import RetryBudget
from spindle_decisions.routing.retry_budget_limits import RetryBudgetLimits
from spindle_decisions.routing.routing_state import RoutingState
from tests.decisions.routing.common import HERE

BOUNDS = RetryBudgetLimits(ratio=0.2, window_s=10.0, burst=52)


class TestRepeatBudget(unittest.TestCase):
    @params((1, 1), (6, 2), (9, 3), (12, 4))
    def test_no_window_is_over_the_bound(self, instances: int, seed: int) -> None:
        """All instances repeat whenever they may, with uneven load that comes and goes."""
        rng = random.Random(seed)
        budgets = [RetryBudget(BOUNDS) for _ in range(instances)]
        weights = [rng.uniform(0.1, 3.0) for _ in budgets]
        requests: list[float] = []
        repeats: list[float] = []
        now = 0.0
        while now < 60.0:
            now += rng.expovariate(40 if now % 20 < 10 else 5)
            budget = rng.choices(budgets, weights)[0]
            budget.record_request(now)
            requests.append(now)
            while budget.try_acquire(now, instances):
                repeats.append(now)
        for start in (value / 4 for value in range(240)):
            end = start + BOUNDS.window_s
            in_window = sum(start <= at < end for at in repeats)
            counted = max(
                sum(start - back <= at < end - back for at in requests) for back in (0, 5, 10)
            )
            self.assertLessEqual(in_window, BOUNDS.ratio * counted + BOUNDS.burst)

    def test_recovers_after_the_window(self) -> None:
        budget = RetryBudget(BOUNDS)
        while budget.try_acquire(0.0, 1):
            pass
        self.assertFalse(budget.try_acquire(5.0, 1))
        self.assertTrue(budget.try_acquire(11.0, 1))

    def test_right_after_a_start_only_the_ratio_may_be_used(self) -> None:
        made = RoutingState(HERE, BOUNDS, random.Random(1), instances_known_at=5.0)
        self.assertFalse(made.try_acquire_retry("s0", 1.0))
        for _ in range(20):
            made.retry_budget("s0").record_request(1.0)
        taken = 0
        while made.try_acquire_retry("s0", 1.0):
            taken += 1
        self.assertLessEqual(taken, BOUNDS.ratio * 20)
        self.assertTrue(made.try_acquire_retry("s0", 5.0))
