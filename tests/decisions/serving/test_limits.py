"""Limits, budgets, ejection and drain."""

import unittest

from nose2.tools import params

from spindle_decisions.serving.adaptive_limit import AdaptiveLimit
from spindle_decisions.serving.ejection import FAILURES_TO_EJECT, ejection_floor
from spindle_decisions.serving.failure_kind import FailureKind
from spindle_decisions.serving.latency_quantile import LatencyQuantile
from spindle_decisions.serving.ratio_budget import RatioBudget
from spindle_decisions.serving.reported_drain import HOLD_S, ReportedDrain
from spindle_decisions.serving.tier_policy import TierPolicy, TierSwitches
from tests.decisions.serving.common import HERE, board, state


class TestAdaptiveLimit(unittest.TestCase):
    @params(
        ("idle latency at the limit grows to the ceiling", 0.020, 4, 4.0, 4.0),
        ("idle latency below the limit does not grow", 0.020, 0, 1.9, 2.1),
        ("queueing shrinks to the least", 0.060, 4, 1.0, 1.0),
    )
    def test_follows_latency(
        self, _name: str, latency_s: float, inflight: int, least: float, most: float
    ) -> None:
        limit = AdaptiveLimit(2)
        limit.answered(0.020, 0, 0.0)
        for step in range(200):
            limit.answered(latency_s, inflight, step * 0.1)
        self.assertTrue(least <= limit.value <= most, limit.value)

    def test_stragglers_are_no_queueing(self) -> None:
        limit = AdaptiveLimit(2)
        least = limit.ceiling
        for step in range(500):
            limit.answered(0.400 if step % 50 == 49 else 0.020, 4, step * 0.02)
            least = min(least, limit.value if step > 40 else limit.ceiling)
        self.assertGreaterEqual(least, 3.5)

    def test_one_burst_shrinks_once(self) -> None:
        limit = AdaptiveLimit(2)
        limit.answered(0.020, 0, 0.0)
        for _ in range(10):
            limit.shed(1.0)
        self.assertGreater(limit.value, 1.3)


class TestBudget(unittest.TestCase):
    def test_ratio_of_primaries(self) -> None:
        budget = RatioBudget(0.05, burst=2.0)
        taken = 0
        for _ in range(1000):
            budget.earn()
            taken += budget.take()
        self.assertTrue(45 <= taken <= 52, taken)

    def test_spare_is_left(self) -> None:
        budget = RatioBudget(0.05, burst=4.0)
        self.assertEqual([True, True, False], [budget.take(spare=2.0) for _ in range(3)])
        self.assertTrue(budget.take())

    def test_hedges_close_under_pressure(self) -> None:
        policy = TierPolicy(HERE, TierSwitches())
        for _ in range(50):
            policy.had_to_wait()
        self.assertFalse(policy.may_hedge(patient=True))
        for _ in range(200):
            policy.sent_primary()
        self.assertTrue(policy.may_hedge(patient=True))

    @params(
        (FailureKind.UNSENT, True),
        (FailureKind.DRAINING, True),
        (FailureKind.SNAPSHOT_GONE, True),
        (FailureKind.SHED, False),
        (FailureKind.BROKEN, False),
    )
    def test_retries_without_budget(self, kind: FailureKind, free: bool) -> None:
        policy = TierPolicy(HERE, TierSwitches())
        policy.retries.tokens = 0.0
        self.assertEqual(free, policy.may_retry(kind))

    def test_learned_quantile_follows(self) -> None:
        quantile = LatencyQuantile(96.0, 0.1)
        for step in range(2000):
            quantile.record(0.500 if step % 50 == 0 else 0.020, step * 0.01)
        self.assertAlmostEqual(0.020, quantile.value_s, delta=0.002)


class TestAdmission(unittest.TestCase):
    @params(
        ("nobody waits", [0.0] * 20, False),
        ("one is full, the others idle", [1.5] + [0.0] * 19, False),
        ("one is full, the others busy", [1.5] + [0.8] * 19, True),
        ("three are full", [1.0] * 3 + [0.0] * 17, True),
        ("all are nearly full", [0.99] * 20, False),
        ("the only one is full", [1.0], True),
    )
    def test_refuses_new(self, _name: str, fills: list[float], refuses: bool) -> None:
        policy = TierPolicy(HERE, TierSwitches())
        self.assertEqual(refuses, policy.refuses_new(fills))
        self.assertFalse(TierPolicy(HERE, TierSwitches(limits=False)).refuses_new(fills))


class TestEjection(unittest.TestCase):
    @params((1, 1), (2, 1), (3, 2), (4, 2))
    def test_floor_keeps_half(self, replicas: int, kept: int) -> None:
        policy = TierPolicy(HERE, TierSwitches())
        states = [state(f"s1-{number}") for number in range(replicas)]
        for each in states:
            for _ in range(FAILURES_TO_EJECT):
                each.ejection.failed(0.0)
        self.assertEqual(kept, ejection_floor(replicas))
        self.assertEqual(kept, len(policy.in_use(states, 0.5)))
        self.assertEqual(replicas, len(policy.in_use(states, 60.0)))

    def test_slow_but_answering_is_not_ejected(self) -> None:
        """Cancelled requests count only for a replica that answers nobody."""
        for answers, ejected in ((True, False), (False, True)):
            it = board()
            busy = it.states["s1-a"]
            for _ in range(1 + FAILURES_TO_EJECT):
                it.take(busy)
            if answers:
                it.answered(busy, 0.1, 101.1)
            for _ in range(FAILURES_TO_EJECT):
                it.abandoned(busy, 101.0, True, 101.2)
            self.assertEqual(ejected, busy.ejection.ejected(101.2))

    def test_failing_probes_keep_it_ejected(self) -> None:
        it = board()
        dead = it.states["s1-a"]
        for step in range(40):
            it.probe_failed(dead, 101.0 + 0.5 * step)
        self.assertTrue(dead.ejection.ejected(101.0 + 0.5 * 40))


class TestDrain(unittest.TestCase):
    @params(
        ("at once", [(0.0, True)], 0.0, True),
        ("a lagging report does not end it", [(0.0, True), (1.0, False)], 1.0, True),
        ("a later report ends it", [(0.0, True), (HOLD_S, False)], HOLD_S, False),
    )
    def test_signal(
        self, _name: str, reports: list[tuple[float, bool]], now: float, draining: bool
    ) -> None:
        drain = ReportedDrain()
        for at, told in reports:
            drain.report(told, at)
        self.assertEqual(draining, drain.draining)
