"""Tests of the retry budget that all instances share."""

import random
import unittest

from nose2.tools import params

from spindle_decisions.routing.retry_budget import RetryBudget
from spindle_decisions.routing.retry_budget_limits import RetryBudgetLimits
from spindle_decisions.routing.routing_state import RoutingState
from tests.decisions.routing.common import HERE

LIMITS = RetryBudgetLimits(ratio=0.2, window_s=10.0, burst=52)


class TestRetryBudget(unittest.TestCase):
    @params((1, 1), (6, 2), (9, 3), (12, 4))
    def test_no_window_exceeds_the_limit(self, instances: int, seed: int) -> None:
        """All instances retry whenever allowed, under uneven and varying load."""
        rng = random.Random(seed)
        budgets = [RetryBudget(LIMITS) for _ in range(instances)]
        weights = [rng.uniform(0.1, 3.0) for _ in budgets]
        requests: list[float] = []
        retries: list[float] = []
        now = 0.0
        while now < 60.0:
            now += rng.expovariate(40 if now % 20 < 10 else 5)
            budget = rng.choices(budgets, weights)[0]
            budget.record_request(now)
            requests.append(now)
            while budget.try_acquire(now, instances):
                retries.append(now)
        for start in (value / 4 for value in range(240)):
            end = start + LIMITS.window_s
            in_window = sum(start <= at < end for at in retries)
            request_count = max(
                sum(start - shift_s <= at < end - shift_s for at in requests)
                for shift_s in (0, 5, 10)
            )
            self.assertLessEqual(in_window, LIMITS.ratio * request_count + LIMITS.burst)

    def test_recovers_after_the_window(self) -> None:
        budget = RetryBudget(LIMITS)
        while budget.try_acquire(0.0, 1):
            pass
        self.assertFalse(budget.try_acquire(5.0, 1))
        self.assertTrue(budget.try_acquire(11.0, 1))

    def test_burst_is_not_used_right_after_the_start(self) -> None:
        state = RoutingState(HERE, LIMITS, random.Random(1), instances_known_at=5.0)
        self.assertFalse(state.try_acquire_retry("s0", 1.0))
        for _ in range(20):
            state.retry_budget("s0").record_request(1.0)
        acquired = 0
        while state.try_acquire_retry("s0", 1.0):
            acquired += 1
        self.assertLessEqual(acquired, LIMITS.ratio * 20)
        self.assertTrue(state.try_acquire_retry("s0", 5.0))
