"""Tests of scatter-gather requests: hedges, retries and outcomes."""

import unittest

from nose2.tools import params

from spindle_decisions.routing.gather_execution import GatherExecution
from spindle_decisions.routing.routing_state import RoutingState
from spindle_decisions.routing.upstream_attempt import UpstreamAttempt
from tests.decisions.routing.common import gather_route, listed, shard_routing_state

NOW = 100.0
LIMIT_S = 0.5
AIM_S = 0.1


class TestGatherExecution(unittest.TestCase):
    def start(
        self, shards: int = 4, least_share: float = 0.75, replicas: int = 2, max_attempts: int = 2
    ) -> list[UpstreamAttempt]:
        self.state: RoutingState = shard_routing_state(shards, replicas)
        route = gather_route(shards, least_share, max_attempts)
        self.gather = GatherExecution(route, self.state, NOW, LIMIT_S)
        return self.gather.start(NOW)

    def outcome(self) -> tuple[str, bool] | None:
        outcome = self.gather.outcome
        return None if outcome is None else (outcome.reason, outcome.answered)

    def test_one_attempt_for_each_shard(self) -> None:
        attempts = self.start()
        self.assertEqual([attempt.shard_index for attempt in attempts], [0, 1, 2, 3])
        self.assertEqual({attempt.cause for attempt in attempts}, {"first"})

    def test_ends_when_all_parts_arrived(self) -> None:
        for attempt in self.start():
            self.gather.on_response(attempt.attempt_id, "part", NOW + 0.01)
        self.assertEqual(self.outcome(), ("whole", True))

    def test_slow_shard_is_hedged_at_another_upstream(self) -> None:
        attempts = self.start()
        for attempt in attempts[1:]:
            self.gather.on_response(attempt.attempt_id, "part", NOW + 0.005)
        hedge_at = self.gather.next_tick_at()
        self.assertLess(hedge_at, NOW + 0.4 * AIM_S)
        hedges = self.gather.tick(hedge_at)
        self.assertEqual([(hedge.shard_index, hedge.cause) for hedge in hedges], [(0, "hedge")])
        self.assertIsNot(hedges[0].replica, attempts[0].replica)
        self.assertEqual(self.gather.tick(hedge_at + 0.01), [])
        self.gather.on_response(hedges[0].attempt_id, "part", hedge_at + 0.01)
        self.assertEqual(self.outcome(), ("whole", True))

    def test_second_response_of_a_shard_is_ignored(self) -> None:
        attempts = self.start()
        hedges = self.gather.tick(self.gather.next_tick_at())
        self.gather.on_response(attempts[0].attempt_id, "first", NOW + 0.05)
        self.gather.on_response(hedges[0].attempt_id, "second", NOW + 0.06)
        self.assertEqual(self.gather.shards[0].part, "first")
        self.assertEqual(self.gather.missing, 3)

    @params((3, ("aim", True)), (2, None))
    def test_ends_at_the_aim_with_the_least_share(
        self, part_count: int, expected: tuple[str, bool] | None
    ) -> None:
        for attempt in self.start()[:part_count]:
            self.gather.on_response(attempt.attempt_id, "part", NOW + 0.01)
        self.gather.tick(NOW + AIM_S)
        self.assertEqual(self.outcome(), expected)

    def test_after_the_aim_ends_when_the_least_share_is_reached(self) -> None:
        attempts = self.start()
        for attempt in attempts[:2]:
            self.gather.on_response(attempt.attempt_id, "part", NOW + 0.01)
        self.gather.tick(NOW + AIM_S)
        self.gather.on_response(attempts[2].attempt_id, "part", NOW + AIM_S + 0.05)
        self.assertEqual(self.outcome(), ("aim", True))

    def test_ends_when_no_further_part_can_arrive(self) -> None:
        attempts = self.start(replicas=1)
        for attempt in attempts[1:]:
            self.gather.on_response(attempt.attempt_id, "part", NOW + 0.01)
        self.gather.on_failure(attempts[0].attempt_id, NOW + 0.02)
        self.assertEqual(self.outcome(), ("settled", True))

    def test_ends_when_the_least_share_is_unreachable(self) -> None:
        attempts = self.start(replicas=1)
        for attempt in attempts[:2]:
            self.gather.on_failure(attempt.attempt_id, NOW + 0.01)
        self.assertEqual(self.outcome(), ("doomed", False))

    def test_owner_goes_on_after_the_aim_until_no_part_can_arrive(self) -> None:
        self.start()
        gather = GatherExecution(
            gather_route(least_share=0.0), self.state, NOW, LIMIT_S, ends_at_aim=False
        )
        attempts = gather.start(NOW)
        for attempt in attempts[:2]:
            gather.on_response(attempt.attempt_id, "part", NOW + 0.01)
        gather.tick(NOW + AIM_S)
        self.assertIsNone(gather.outcome)
        self.assertGreater(gather.next_tick_at(), NOW + AIM_S)
        for attempt in attempts[2:]:
            gather.on_response(attempt.attempt_id, "part", NOW + 0.3)
        assert gather.outcome is not None
        self.assertEqual(gather.outcome.reason, "whole")

    def test_ends_at_the_deadline(self) -> None:
        self.start()
        self.gather.tick(NOW + LIMIT_S)
        self.assertEqual(self.outcome(), ("deadline", False))

    def test_failure_is_retried_at_another_upstream(self) -> None:
        attempts = self.start()
        retries = self.gather.on_failure(attempts[0].attempt_id, NOW + 0.01)
        self.assertEqual([retry.cause for retry in retries], ["retry"])
        self.assertIsNot(retries[0].replica, attempts[0].replica)
        self.assertEqual(self.gather.on_failure(retries[0].attempt_id, NOW + 0.02), [])

    def test_max_attempts_bounds_retries(self) -> None:
        attempts = self.start(max_attempts=1)
        self.assertEqual(self.gather.on_failure(attempts[0].attempt_id, NOW + 0.01), [])

    def test_attempt_not_sent_uses_neither_attempts_nor_budget(self) -> None:
        attempts = self.start(max_attempts=1)
        budget = self.state.retry_budget("s0")
        before = budget.retries
        replacements = self.gather.on_failure(attempts[0].attempt_id, NOW + 0.01, not_sent=True)
        self.assertEqual([attempt.cause for attempt in replacements], ["first"])
        self.assertEqual(budget.retries, before)

    def test_no_hedge_without_budget(self) -> None:
        self.start()
        for number in range(4):
            while self.state.try_acquire_retry(f"s{number}", NOW):
                pass
        self.assertEqual(self.gather.tick(self.gather.next_tick_at()), [])

    def test_next_tick_lies_ahead_while_a_shard_has_no_upstream(self) -> None:
        """Regression: a shard that could not be hedged kept the runner in a busy loop."""
        self.start()
        self.state.replicas.update_upstreams(
            NOW, tuple(listed(f"u{number}", f"s{number}") for number in range(3))
        )
        gather = GatherExecution(gather_route(), self.state, NOW, LIMIT_S)
        gather.start(NOW)
        now = NOW
        for _ in range(5):
            next_at = gather.next_tick_at()
            self.assertGreater(next_at, now)
            now = next_at
            gather.tick(now)
            if gather.outcome is not None or now >= NOW + LIMIT_S:
                break
        else:
            self.fail("the gather is woken more often than it has anything to do")

    def test_shards_without_upstreams_are_given_up_at_the_start(self) -> None:
        self.start()
        self.state.replicas.update_upstreams(NOW, (listed("a", "s0"), listed("b", "s1")))
        gather = GatherExecution(gather_route(), self.state, NOW, LIMIT_S)
        gather.start(NOW)
        assert gather.outcome is not None
        self.assertEqual((gather.outcome.reason, gather.outcome.answered), ("doomed", False))
