"""Tests of limits, budgets, load shedding, ejection and drain signals."""

import unittest

from nose2.tools import params

from spindle_decisions.serving.adaptive_concurrency_limit import AdaptiveConcurrencyLimit
from spindle_decisions.serving.default_policy import DefaultPolicy, PolicyFeatures
from spindle_decisions.serving.failure_kind import FailureKind
from spindle_decisions.serving.latency_quantile import LatencyQuantile
from spindle_decisions.serving.outlier_ejection import FAILURES_TO_EJECT, min_in_use
from spindle_decisions.serving.ratio_budget import RatioBudget
from spindle_decisions.serving.reported_drain import DRAIN_HOLD_S, ReportedDrain
from tests.decisions.serving.common import HERE, upstream_pool, upstream_state


class TestAdaptiveConcurrencyLimit(unittest.TestCase):
    @params(
        ("idle latency at the limit grows to the maximum", 0.020, 4, 4.0, 4.0),
        ("idle latency below the limit does not grow", 0.020, 0, 1.9, 2.1),
        ("queueing shrinks to the minimum", 0.060, 4, 1.0, 1.0),
    )
    def test_follows_latency(
        self, _name: str, latency_s: float, in_flight: int, min_value: float, max_value: float
    ) -> None:
        limit = AdaptiveConcurrencyLimit(2)
        limit.on_success(0.020, 0, 0.0)
        for step in range(200):
            limit.on_success(latency_s, in_flight, step * 0.1)
        self.assertTrue(min_value <= limit.value <= max_value, limit.value)

    def test_stragglers_do_not_count_as_queueing(self) -> None:
        limit = AdaptiveConcurrencyLimit(2)
        min_value = limit.max_value
        for step in range(500):
            limit.on_success(0.400 if step % 50 == 49 else 0.020, 4, step * 0.02)
            min_value = min(min_value, limit.value if step > 40 else limit.max_value)
        self.assertGreaterEqual(min_value, 3.5)

    def test_one_burst_of_sheds_reduces_the_limit_once(self) -> None:
        limit = AdaptiveConcurrencyLimit(2)
        limit.on_success(0.020, 0, 0.0)
        for _ in range(10):
            limit.on_shed(1.0)
        self.assertGreater(limit.value, 1.3)


class TestBudget(unittest.TestCase):
    def test_ratio_of_primaries(self) -> None:
        budget = RatioBudget(0.05, burst=2.0)
        acquired = 0
        for _ in range(1000):
            budget.deposit()
            acquired += budget.try_acquire()
        self.assertTrue(45 <= acquired <= 52, acquired)

    def test_reserve_is_kept(self) -> None:
        budget = RatioBudget(0.05, burst=4.0)
        self.assertEqual([True, True, False], [budget.try_acquire(reserve=2.0) for _ in range(3)])
        self.assertTrue(budget.try_acquire())

    def test_no_hedges_under_pressure(self) -> None:
        policy = DefaultPolicy(HERE, PolicyFeatures())
        for _ in range(50):
            policy.on_slot_wait()
        self.assertFalse(policy.try_acquire_hedge(use_reserve=True))
        for _ in range(200):
            policy.on_primary_sent()
        self.assertTrue(policy.try_acquire_hedge(use_reserve=True))

    @params(
        (FailureKind.NOT_SENT, True),
        (FailureKind.DRAINING, True),
        (FailureKind.SNAPSHOT_GONE, True),
        (FailureKind.SHED, False),
        (FailureKind.BROKEN, False),
    )
    def test_retries_without_budget(self, kind: FailureKind, free: bool) -> None:
        policy = DefaultPolicy(HERE, PolicyFeatures())
        policy.retries.tokens = 0.0
        self.assertEqual(free, policy.try_acquire_retry(kind))

    def test_quantile_follows_recent_latencies(self) -> None:
        quantile = LatencyQuantile(96.0, 0.1)
        for step in range(2000):
            quantile.record(0.500 if step % 50 == 0 else 0.020, step * 0.01)
        self.assertAlmostEqual(0.020, quantile.value_s, delta=0.002)


class TestAdmission(unittest.TestCase):
    @params(
        ("no queue", [0.0] * 20, False),
        ("one is full, the others idle", [1.5] + [0.0] * 19, False),
        ("one is full, the others busy", [1.5] + [0.8] * 19, True),
        ("three are full", [1.0] * 3 + [0.0] * 17, True),
        ("all are nearly full", [0.99] * 20, False),
        ("the only one is full", [1.0], True),
    )
    def test_should_shed(self, _name: str, fills: list[float], refuses: bool) -> None:
        policy = DefaultPolicy(HERE, PolicyFeatures())
        self.assertEqual(refuses, policy.should_shed(fills))
        self.assertFalse(DefaultPolicy(HERE, PolicyFeatures(limits=False)).should_shed(fills))


class TestEjection(unittest.TestCase):
    @params((1, 1), (2, 1), (3, 2), (4, 2))
    def test_half_of_the_replicas_stay_in_use(self, replicas: int, min_kept: int) -> None:
        policy = DefaultPolicy(HERE, PolicyFeatures())
        states = [upstream_state(f"s1-{number}") for number in range(replicas)]
        for each in states:
            for _ in range(FAILURES_TO_EJECT):
                each.ejection.record_failure(0.0)
        self.assertEqual(min_kept, min_in_use(replicas))
        self.assertEqual(min_kept, len(policy.without_ejected(states, 0.5)))
        self.assertEqual(replicas, len(policy.without_ejected(states, 60.0)))

    def test_slow_replica_that_answers_is_not_ejected(self) -> None:
        """Cancelled requests count as failures only if the replica answers no request."""
        for answers, ejected in ((True, False), (False, True)):
            pool = upstream_pool()
            busy = pool.states["s1-a"]
            for _ in range(1 + FAILURES_TO_EJECT):
                pool.acquire(busy)
            if answers:
                pool.release_success(busy, 0.1, 101.1)
            for _ in range(FAILURES_TO_EJECT):
                pool.release_cancelled(busy, 101.0, True, 101.2)
            self.assertEqual(ejected, busy.ejection.is_ejected(101.2))

    def test_failing_probes_keep_it_ejected(self) -> None:
        pool = upstream_pool()
        dead = pool.states["s1-a"]
        for step in range(40):
            pool.on_probe_failed(dead, 101.0 + 0.5 * step)
        self.assertTrue(dead.ejection.is_ejected(101.0 + 0.5 * 40))


class TestDrain(unittest.TestCase):
    @params(
        ("the first report starts it", [(0.0, True)], 0.0, True),
        ("a lagging report does not end it", [(0.0, True), (1.0, False)], 1.0, True),
        ("a later report ends it", [(0.0, True), (DRAIN_HOLD_S, False)], DRAIN_HOLD_S, False),
    )
    def test_signal(
        self, _name: str, reports: list[tuple[float, bool]], now: float, draining: bool
    ) -> None:
        drain = ReportedDrain()
        for at, draining_reported in reports:
            drain.report(draining_reported, at)
        self.assertEqual(draining, drain.draining)
