"""Gathered requests: hedges, repeats, and when they end."""

import unittest

from nose2.tools import params

from spindle_decisions.routing.gather_execution import GatherExecution
from spindle_decisions.routing.routing_state import RoutingState
from spindle_decisions.routing.upstream_attempt import UpstreamAttempt
from tests.decisions.routing.common import gather_route, listed, shard_book

NOW = 100.0
LIMIT_S = 0.5
AIM_S = 0.1


class TestGather(unittest.TestCase):
    def start(
        self, shards: int = 4, least: float = 0.75, replicas: int = 2, attempts: int = 2
    ) -> list[UpstreamAttempt]:
        self.book: RoutingState = shard_book(shards, replicas)
        route = gather_route(shards, least, attempts)
        self.gather = GatherExecution(route, self.book, NOW, LIMIT_S)
        return self.gather.start(NOW)

    def ended(self) -> tuple[str, bool] | None:
        end = self.gather.outcome
        return None if end is None else (end.reason, end.answered)

    def test_one_send_for_each_shard(self) -> None:
        sends = self.start()
        self.assertEqual([send.shard_index for send in sends], [0, 1, 2, 3])
        self.assertEqual({send.cause for send in sends}, {"first"})

    def test_whole(self) -> None:
        for send in self.start():
            self.gather.on_response(send.attempt_id, "part", NOW + 0.01)
        self.assertEqual(self.ended(), ("whole", True))

    def test_a_straggler_is_hedged_at_another_upstream(self) -> None:
        sends = self.start()
        for send in sends[1:]:
            self.gather.on_response(send.attempt_id, "part", NOW + 0.005)
        at = self.gather.next_tick_at()
        self.assertLess(at, NOW + 0.4 * AIM_S)
        hedges = self.gather.tick(at)
        self.assertEqual([(hedge.shard_index, hedge.cause) for hedge in hedges], [(0, "hedge")])
        self.assertIsNot(hedges[0].replica, sends[0].replica)
        self.assertEqual(self.gather.tick(at + 0.01), [])
        self.gather.on_response(hedges[0].attempt_id, "part", at + 0.01)
        self.assertEqual(self.ended(), ("whole", True))

    def test_the_second_answer_of_a_shard_changes_nothing(self) -> None:
        sends = self.start()
        hedges = self.gather.tick(self.gather.next_tick_at())
        self.gather.on_response(sends[0].attempt_id, "first", NOW + 0.05)
        self.gather.on_response(hedges[0].attempt_id, "second", NOW + 0.06)
        self.assertEqual(self.gather.shards[0].part, "first")
        self.assertEqual(self.gather.missing, 3)

    @params((3, ("aim", True)), (2, None))
    def test_at_the_aim_the_least_share_is_enough(
        self, parts: int, end: tuple[str, bool] | None
    ) -> None:
        for send in self.start()[:parts]:
            self.gather.on_response(send.attempt_id, "part", NOW + 0.01)
        self.gather.tick(NOW + AIM_S)
        self.assertEqual(self.ended(), end)

    def test_behind_the_aim_it_ends_with_the_part_that_was_lacking(self) -> None:
        sends = self.start()
        for send in sends[:2]:
            self.gather.on_response(send.attempt_id, "part", NOW + 0.01)
        self.gather.tick(NOW + AIM_S)
        self.gather.on_response(sends[2].attempt_id, "part", NOW + AIM_S + 0.05)
        self.assertEqual(self.ended(), ("aim", True))

    def test_it_does_not_wait_for_what_cannot_come(self) -> None:
        sends = self.start(replicas=1)
        for send in sends[1:]:
            self.gather.on_response(send.attempt_id, "part", NOW + 0.01)
        self.gather.on_failure(sends[0].attempt_id, NOW + 0.02)
        self.assertEqual(self.ended(), ("settled", True))

    def test_doomed_at_once(self) -> None:
        sends = self.start(replicas=1)
        for send in sends[:2]:
            self.gather.on_failure(send.attempt_id, NOW + 0.01)
        self.assertEqual(self.ended(), ("doomed", False))

    def test_deadline(self) -> None:
        self.start()
        self.gather.tick(NOW + LIMIT_S)
        self.assertEqual(self.ended(), ("deadline", False))

    def test_a_failure_is_repeated_at_another_upstream(self) -> None:
        sends = self.start()
        retries = self.gather.on_failure(sends[0].attempt_id, NOW + 0.01)
        self.assertEqual([retry.cause for retry in retries], ["retry"])
        self.assertIsNot(retries[0].replica, sends[0].replica)
        self.assertEqual(self.gather.on_failure(retries[0].attempt_id, NOW + 0.02), [])

    def test_no_more_upstreams_than_attempts(self) -> None:
        sends = self.start(attempts=1)
        self.assertEqual(self.gather.on_failure(sends[0].attempt_id, NOW + 0.01), [])

    def test_a_send_that_never_left_costs_neither_attempt_nor_budget(self) -> None:
        sends = self.start(attempts=1)
        budget = self.book.retry_budget("s0")
        before = budget.retries
        again = self.gather.on_failure(sends[0].attempt_id, NOW + 0.01, not_sent=True)
        self.assertEqual([send.cause for send in again], ["first"])
        self.assertEqual(budget.retries, before)

    def test_without_budget_there_is_no_hedge(self) -> None:
        self.start()
        for number in range(4):
            while self.book.try_acquire_retry(f"s{number}", NOW):
                pass
        self.assertEqual(self.gather.tick(self.gather.next_tick_at()), [])

    def test_shards_without_upstreams_are_missing_from_the_start(self) -> None:
        self.start()
        self.book.replicas.update_upstreams(NOW, (listed("a", "s0"), listed("b", "s1")))
        gather = GatherExecution(gather_route(), self.book, NOW, LIMIT_S)
        gather.start(NOW)
        assert gather.outcome is not None
        self.assertEqual((gather.outcome.reason, gather.outcome.answered), ("doomed", False))
