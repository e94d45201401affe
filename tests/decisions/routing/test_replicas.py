"""Which upstream a request goes to."""

import unittest

from nose2.tools import params

from spindle_decisions.routing import const
from spindle_decisions.routing.replica import Replica
from tests.decisions.routing.common import AWAY, HERE, book, gather_route, listed, shard_book

NOW = 100.0
USUAL_S = 0.01


class TestChoice(unittest.TestCase):
    def setUp(self) -> None:
        self.book = book(listed("near", "s0", HERE), listed("far", "s0", AWAY))
        self.near = self.book.replicas.replicas["near"]
        self.far = self.book.replicas.replicas["far"]

    def chosen(self, now: float = NOW, *tried: Replica) -> str | None:
        replica = self.book.replicas.select_replica("s0", now, USUAL_S, tried)
        return replica.upstream_id if replica else None

    def test_the_near_one_when_both_are_alike(self) -> None:
        self.assertEqual(self.chosen(), "near")

    def test_not_one_that_was_tried(self) -> None:
        self.assertEqual(self.chosen(NOW, self.near), "far")
        self.assertIsNone(self.chosen(NOW, self.near, self.far))

    def test_not_one_that_stands_still(self) -> None:
        self.near.record_sent(1, NOW - 0.05)
        self.assertEqual(self.chosen(), "far")

    def test_not_one_that_reports_a_queue(self) -> None:
        self.near.record_load_report(NOW, 2, 5)
        self.assertEqual(self.chosen(), "far")
        self.assertEqual(self.chosen(NOW + 2 * const.LOAD_REPORT_MAX_AGE_S), "near")

    def test_not_a_slow_one_until_it_is_tried_again(self) -> None:
        for _ in range(5):
            self.near.record_success(NOW, 10 * USUAL_S, USUAL_S)
        self.assertEqual(self.chosen(), "far")
        self.assertEqual(self.chosen(NOW + 20 * const.LATENCY_FACTOR_HALF_LIFE_S), "near")

    def test_not_one_that_fails_often(self) -> None:
        self.near.record_failure(NOW)
        self.assertEqual(self.chosen(), "far")

    def test_not_one_without_connections_to_spare(self) -> None:
        self.near.connection_share = 1
        self.near.record_sent(1, NOW)
        self.assertEqual(self.chosen(), "far")

    @params("near", "far")
    def test_ejected_ones_when_there_is_no_other(self, only: str) -> None:
        for replica in (self.near, self.far):
            for _ in range(const.EJECTION_FAILURES):
                replica.record_failure(NOW)
        tried = self.far if only == "near" else self.near
        self.assertEqual(self.chosen(NOW, tried), only)

    def test_an_unreachable_one_is_left_out_at_once(self) -> None:
        self.book.replicas.record_connect_failure(self.near, NOW)
        self.assertTrue(self.near.is_ejected(NOW))
        self.assertEqual(self.chosen(), "far")

    def test_an_address_that_another_upstream_has_now(self) -> None:
        self.near.record_misdirected(NOW)
        self.assertEqual(self.chosen(NOW + const.MISDIRECTED_HOLD_S - 0.1), "far")


class TestList(unittest.TestCase):
    def test_leaving_and_gone_get_no_new_request(self) -> None:
        made = book(listed("a", "s0"), listed("b", "s0"), listed("c", "s0"))
        left = (listed("a", "s0", draining=True), listed("c", "s0"))
        gone = made.replicas.update_upstreams(NOW, left)
        self.assertEqual([item.upstream_id for item in gone], ["b"])
        chosen = {made.replicas.select_replica("s0", NOW, USUAL_S) for _ in range(20)}
        self.assertEqual({item.upstream_id for item in chosen if item}, {"c"})

    def test_a_kept_upstream_keeps_what_is_known_of_it(self) -> None:
        made = book(listed("a", "s0"))
        before = made.replicas.replicas["a"]
        made.replicas.update_upstreams(NOW, (listed("a", "s0"),))
        self.assertIs(made.replicas.replicas["a"], before)

    def test_the_same_id_at_another_place_is_another_upstream(self) -> None:
        made = book(listed("a", "s0"))
        before = made.replicas.replicas["a"]
        gone = made.replicas.update_upstreams(NOW, (listed("a", "s1"),))
        self.assertEqual(gone, [before])
        self.assertIsNone(made.replicas.select_replica("s0", NOW, USUAL_S))

    @params((25, 6, 3), (25, 9, 2), (26, 9, 2), (25, 100, 1), (96, 6, 13))
    def test_shares_of_connections(self, bound: int, instances: int, share: int) -> None:
        made = book(listed("a", "s0"))
        made.replicas.divide_connections({"s0": bound}, instances)
        self.assertEqual(made.replicas.replicas["a"].connection_share, share)
        self.assertLessEqual(share * instances, max(bound, instances))


class TestDarkDataCenter(unittest.TestCase):
    def setUp(self) -> None:
        away = [listed(f"away{number}", f"s{number}", AWAY) for number in range(5)]
        here = [listed(f"here{number}", f"s{number}", HERE) for number in range(5)]
        self.book = book(*away, *here)
        for number in range(const.MIN_UNREACHABLE_UPSTREAMS):
            replica = self.book.replicas.replicas[f"away{number}"]
            self.book.replicas.record_connect_failure(replica, NOW)

    def test_its_other_upstreams_are_left_alone(self) -> None:
        replica = self.book.replicas.replicas["away4"]
        self.assertFalse(self.book.replicas.is_healthy(replica, NOW))

    def test_they_are_tried_again_after_a_while(self) -> None:
        replica = self.book.replicas.replicas["away4"]
        self.assertTrue(
            self.book.replicas.is_healthy(replica, NOW + const.UNREACHABLE_HOLD_S + 0.01)
        )

    def test_one_answer_ends_it(self) -> None:
        replica = self.book.replicas.replicas["away4"]
        self.book.replicas.record_success(replica, NOW, USUAL_S, USUAL_S)
        self.assertTrue(self.book.replicas.is_healthy(replica, NOW))


class TestServable(unittest.TestCase):
    def setUp(self) -> None:
        self.route = gather_route(4, 0.75)
        self.book = shard_book(4, 2)
        for number in range(const.MIN_UNREACHABLE_UPSTREAMS):
            replica = self.book.replicas.replicas[f"s{number}-b"]
            self.book.replicas.record_connect_failure(replica, NOW)

    def lose(self, *names: str) -> None:
        for name in names:
            self.book.replicas.record_connect_failure(self.book.replicas.replicas[name], NOW)

    def test_one_data_center_is_enough(self) -> None:
        self.assertTrue(self.book.admit_request(self.route, NOW))
        self.assertTrue(self.book.replicas.is_isolated(NOW))
        self.assertFalse(self.book.has_unservable_route([self.route], NOW))

    def test_too_few_shards_are_refused_but_for_a_trial(self) -> None:
        self.lose("s0-a", "s1-a")
        admitted = [self.book.admit_request(self.route, NOW + step * 0.01) for step in range(5)]
        self.assertEqual(admitted, [True, False, False, False, False])
        self.assertTrue(self.book.has_unservable_route([self.route], NOW))

    def test_a_route_that_nobody_uses_does_not_count(self) -> None:
        self.lose("s0-a", "s1-a")
        self.assertFalse(self.book.has_unservable_route([self.route], NOW))

    def test_an_answer_ends_it(self) -> None:
        self.lose("s0-a", "s1-a")
        for name in ("s0-a", "s0-b"):
            replica = self.book.replicas.replicas[name]
            self.book.replicas.record_success(replica, NOW, USUAL_S, USUAL_S)
        self.assertTrue(self.book.can_serve(self.route, NOW))

    def test_upstreams_that_fail_can_still_be_reached(self) -> None:
        for name in ("s0-a", "s1-a"):
            for _ in range(const.EJECTION_FAILURES):
                self.book.replicas.replicas[name].record_failure(NOW)
        self.assertTrue(self.book.admit_request(self.route, NOW))

    def test_silence_counts_like_a_refused_connection(self) -> None:
        made = shard_book(4, 2)
        for number in range(const.MIN_UNREACHABLE_UPSTREAMS):
            replica = made.replicas.replicas[f"s{number}-b"]
            made.replicas.record_no_response(replica, NOW, const.NO_RESPONSE_TIMEOUT_S, USUAL_S)
        self.assertTrue(made.replicas.is_isolated(NOW))


class TestCrowded(unittest.TestCase):
    """Where there is less than a connection for each instance, shards have owners."""

    @params((6, 25, False, 3), (9, 26, False, 2), (74, 59, True, 12), (62, 53, True, 11))
    def test_shares(self, instances: int, bound: int, crowded: bool, share: int) -> None:
        made = shard_book(4, 2)
        made.shard_services = frozenset(gather_route(4).shards)
        made.instances = instances
        made.divide_connections(dict.fromkeys(made.shard_services, bound), NOW)
        self.assertEqual(made.uses_shard_owners, crowded)
        shares = {item.connection_share for item in made.replicas.replicas.values()}
        self.assertEqual(shares, {share})

    def test_owners_share_the_budget_of_their_shards_only(self) -> None:
        made = shard_book(4, 2)
        made.shard_services = frozenset(("s0",))
        made.instances = 74
        made.divide_connections({"s0": 59, "s1": 59}, NOW)
        taken = {"s0": 0, "s1": 0}
        for name in taken:
            while made.try_acquire_retry(name, NOW):
                taken[name] += 1
        self.assertGreater(taken["s0"], 4)
        self.assertEqual(taken["s1"], 0)
