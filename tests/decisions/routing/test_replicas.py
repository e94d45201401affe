"""Tests of replica selection, reachability, admission and connection shares."""

import unittest

from nose2.tools import params

from spindle_decisions.routing import const
from spindle_decisions.routing.replica import Replica
from tests.decisions.routing.common import (
    AWAY,
    HERE,
    gather_route,
    listed,
    routing_state,
    shard_routing_state,
)

NOW = 100.0
MEDIAN_S = 0.01


class TestSelection(unittest.TestCase):
    def setUp(self) -> None:
        self.state = routing_state(listed("local", "s0", HERE), listed("remote", "s0", AWAY))
        self.local = self.state.replicas.replicas["local"]
        self.remote = self.state.replicas.replicas["remote"]

    def select(self, now: float = NOW, *tried: Replica) -> str | None:
        replica = self.state.replicas.select_replica("s0", now, MEDIAN_S, tried)
        return replica.upstream_id if replica else None

    def test_prefers_the_local_data_center(self) -> None:
        self.assertEqual(self.select(), "local")

    def test_skips_tried_replicas(self) -> None:
        self.assertEqual(self.select(NOW, self.local), "remote")
        self.assertIsNone(self.select(NOW, self.local, self.remote))

    def test_avoids_a_replica_with_a_stalled_request(self) -> None:
        self.local.record_sent(1, NOW - 0.05)
        self.assertEqual(self.select(), "remote")

    def test_avoids_a_replica_that_reports_a_queue(self) -> None:
        self.local.record_load_report(NOW, 2, 5)
        self.assertEqual(self.select(), "remote")
        self.assertEqual(self.select(NOW + 2 * const.LOAD_REPORT_MAX_AGE_S), "local")

    def test_avoids_a_slow_replica_until_its_latency_factor_decays(self) -> None:
        for _ in range(5):
            self.local.record_success(NOW, 10 * MEDIAN_S, MEDIAN_S)
        self.assertEqual(self.select(), "remote")
        self.assertEqual(self.select(NOW + 20 * const.LATENCY_FACTOR_HALF_LIFE_S), "local")

    def test_avoids_a_failing_replica(self) -> None:
        self.local.record_failure(NOW)
        self.assertEqual(self.select(), "remote")

    def test_skips_a_replica_at_its_connection_limit(self) -> None:
        self.local.connection_share = 1
        self.local.record_sent(1, NOW)
        self.assertEqual(self.select(), "remote")

    @params("local", "remote")
    def test_uses_ejected_replicas_when_there_is_no_other(self, only: str) -> None:
        for replica in (self.local, self.remote):
            for _ in range(const.EJECTION_FAILURES):
                replica.record_failure(NOW)
        tried = self.remote if only == "local" else self.local
        self.assertEqual(self.select(NOW, tried), only)

    def test_connect_failure_ejects_at_once(self) -> None:
        self.state.replicas.record_connect_failure(self.local, NOW)
        self.assertTrue(self.local.is_ejected(NOW))
        self.assertEqual(self.select(), "remote")

    def test_misdirected_replica_is_avoided(self) -> None:
        self.local.record_misdirected(NOW)
        self.assertEqual(self.select(NOW + const.MISDIRECTED_HOLD_S - 0.1), "remote")


class TestUpdateUpstreams(unittest.TestCase):
    def test_draining_and_removed_upstreams_get_no_new_request(self) -> None:
        state = routing_state(listed("a", "s0"), listed("b", "s0"), listed("c", "s0"))
        updated = (listed("a", "s0", draining=True), listed("c", "s0"))
        removed = state.replicas.update_upstreams(NOW, updated)
        self.assertEqual([item.upstream_id for item in removed], ["b"])
        select = {state.replicas.select_replica("s0", NOW, MEDIAN_S) for _ in range(20)}
        self.assertEqual({item.upstream_id for item in select if item}, {"c"})

    def test_listed_upstream_keeps_its_state(self) -> None:
        state = routing_state(listed("a", "s0"))
        before = state.replicas.replicas["a"]
        state.replicas.update_upstreams(NOW, (listed("a", "s0"),))
        self.assertIs(state.replicas.replicas["a"], before)

    def test_same_id_with_another_service_is_another_upstream(self) -> None:
        state = routing_state(listed("a", "s0"))
        before = state.replicas.replicas["a"]
        removed = state.replicas.update_upstreams(NOW, (listed("a", "s1"),))
        self.assertEqual(removed, [before])
        self.assertIsNone(state.replicas.select_replica("s0", NOW, MEDIAN_S))

    @params((25, 6, 3), (25, 9, 2), (26, 9, 2), (25, 100, 1), (96, 6, 13))
    def test_connection_shares(self, connections: int, instances: int, share: int) -> None:
        state = routing_state(listed("a", "s0"))
        state.replicas.divide_connections({"s0": connections}, instances)
        self.assertEqual(state.replicas.replicas["a"].connection_share, share)
        self.assertLessEqual(share * instances, max(connections, instances))


class TestUnreachableDataCenter(unittest.TestCase):
    def setUp(self) -> None:
        away = [listed(f"away{number}", f"s{number}", AWAY) for number in range(5)]
        here = [listed(f"here{number}", f"s{number}", HERE) for number in range(5)]
        self.state = routing_state(*away, *here)
        for number in range(const.MIN_UNREACHABLE_UPSTREAMS):
            replica = self.state.replicas.replicas[f"away{number}"]
            self.state.replicas.record_connect_failure(replica, NOW)

    def test_its_other_upstreams_are_avoided(self) -> None:
        replica = self.state.replicas.replicas["away4"]
        self.assertFalse(self.state.replicas.is_healthy(replica, NOW))

    def test_its_upstreams_are_tried_again_after_the_hold_time(self) -> None:
        replica = self.state.replicas.replicas["away4"]
        self.assertTrue(
            self.state.replicas.is_healthy(replica, NOW + const.UNREACHABLE_HOLD_S + 0.01)
        )

    def test_one_answer_makes_it_reachable(self) -> None:
        replica = self.state.replicas.replicas["away4"]
        self.state.replicas.record_success(replica, NOW, MEDIAN_S, MEDIAN_S)
        self.assertTrue(self.state.replicas.is_healthy(replica, NOW))


class TestAdmission(unittest.TestCase):
    def setUp(self) -> None:
        self.route = gather_route(4, 0.75)
        self.state = shard_routing_state(4, 2)
        for number in range(const.MIN_UNREACHABLE_UPSTREAMS):
            replica = self.state.replicas.replicas[f"s{number}-b"]
            self.state.replicas.record_connect_failure(replica, NOW)

    def cut(self, *names: str) -> None:
        for name in names:
            self.state.replicas.record_connect_failure(self.state.replicas.replicas[name], NOW)

    def test_serves_from_one_data_center(self) -> None:
        self.assertTrue(self.state.admit_request(self.route, NOW))
        self.assertTrue(self.state.replicas.is_isolated(NOW))
        self.assertFalse(self.state.has_unservable_route([self.route], NOW))

    def test_refuses_all_but_trial_requests_with_too_few_shards(self) -> None:
        self.cut("s0-a", "s1-a")
        admitted = [self.state.admit_request(self.route, NOW + step * 0.01) for step in range(5)]
        self.assertEqual(admitted, [True, False, False, False, False])
        self.assertTrue(self.state.has_unservable_route([self.route], NOW))

    def test_inactive_route_is_not_reported(self) -> None:
        self.cut("s0-a", "s1-a")
        self.assertFalse(self.state.has_unservable_route([self.route], NOW))

    def test_an_answer_makes_the_route_servable(self) -> None:
        self.cut("s0-a", "s1-a")
        for name in ("s0-a", "s0-b"):
            replica = self.state.replicas.replicas[name]
            self.state.replicas.record_success(replica, NOW, MEDIAN_S, MEDIAN_S)
        self.assertTrue(self.state.can_serve(self.route, NOW))

    def test_failing_upstreams_still_count_as_reachable(self) -> None:
        for name in ("s0-a", "s1-a"):
            for _ in range(const.EJECTION_FAILURES):
                self.state.replicas.replicas[name].record_failure(NOW)
        self.assertTrue(self.state.admit_request(self.route, NOW))

    def test_no_response_counts_like_a_connect_failure(self) -> None:
        state = shard_routing_state(4, 2)
        for number in range(const.MIN_UNREACHABLE_UPSTREAMS):
            replica = state.replicas.replicas[f"s{number}-b"]
            state.replicas.record_no_response(replica, NOW, const.NO_RESPONSE_TIMEOUT_S, MEDIAN_S)
        self.assertTrue(state.replicas.is_isolated(NOW))


class TestShardOwners(unittest.TestCase):
    """Shards have owners when upstreams have too few connections for all instances."""

    @params((6, 25, False, 3), (9, 26, False, 2), (74, 59, True, 12), (62, 53, True, 11))
    def test_shares(self, instances: int, connections: int, uses_owners: bool, share: int) -> None:
        state = shard_routing_state(4, 2)
        state.shard_services = frozenset(gather_route(4).shards)
        state.instances = instances
        state.divide_connections(dict.fromkeys(state.shard_services, connections), NOW)
        self.assertEqual(state.uses_shard_owners, uses_owners)
        shares = {item.connection_share for item in state.replicas.replicas.values()}
        self.assertEqual(shares, {share})

    def test_owners_share_only_the_budget_of_their_shards(self) -> None:
        state = shard_routing_state(4, 2)
        state.shard_services = frozenset(("s0",))
        state.instances = 74
        state.divide_connections({"s0": 59, "s1": 59}, NOW)
        acquired = {"s0": 0, "s1": 0}
        for name in acquired:
            while state.try_acquire_retry(name, NOW):
                acquired[name] += 1
        self.assertGreater(acquired["s0"], 4)
        self.assertEqual(acquired["s1"], 0)


class TestReusedAddress(unittest.TestCase):
    """An upstream is gone, and another service's upstream answers at its address.

    Guards against requests that reach that other upstream again and again, as extra attempts
    beyond its retry budget, while the list still names the one that is gone.
    """

    def setUp(self) -> None:
        self.state = routing_state(listed("gone", "s0", HERE), listed("down", "s0", AWAY))
        self.gone = self.state.replicas.replicas["gone"]
        self.gone.record_misdirected(NOW)

    def test_is_not_used_although_no_other_upstream_is_healthy(self) -> None:
        down = self.state.replicas.replicas["down"]
        down.record_connect_failure(NOW)
        selected = {
            self.state.replicas.select_replica("s0", NOW + 0.1 * tenths, MEDIAN_S)
            for tenths in range(50)
        }
        self.assertEqual(selected, {down})
        self.assertIsNone(self.state.replicas.select_replica("s0", NOW, MEDIAN_S, (down,)))

    def test_is_used_again_when_the_list_still_names_it_later(self) -> None:
        later = NOW + const.MISDIRECTED_HOLD_S
        self.assertIs(self.state.replicas.select_replica("s0", later, MEDIAN_S), self.gone)
