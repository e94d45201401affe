"""Fleet above the rate limit of an upstream: the limit holds for the sum of all instances.

Guards against instances that send on as before, or each up to the whole limit, after an
upstream in need named how much it takes from all of them together.
"""

import random
import unittest

from nose2.tools import params

from spindle_decisions.routing.route import Route
from spindle_decisions.routing.routing_state import RoutingState
from tests.decisions.routing.common import (
    AWAY,
    HERE,
    LIMITS,
    gather_route,
    listed,
    single_route,
)
from tests.decisions.routing.rate_limit_load import RateLimitLoad

WINDOW_S = 4.0
SHARDS = 20


def allowed(per_s: float) -> float:
    """Return the requests that an upstream with a limit may get in a window."""
    return 1.5 * per_s * WINDOW_S + 5


def fleet(
    instances: int, services: dict[str, int], connections: int = 1_000, sharded: bool = False
) -> list[RoutingState]:
    """Return the states of a fleet; `services` maps a service to its number of upstreams."""
    upstreams = [
        listed(f"{service}-{number}", service, (HERE, AWAY)[number % 2])
        for service, count in services.items()
        for number in range(count)
    ]
    states = []
    for number in range(instances):
        state = RoutingState((HERE, AWAY)[number % 2], LIMITS, random.Random(number))
        state.instances = instances
        state.shard_services = frozenset(services if sharded else ())
        state.replicas.update_upstreams(0.0, tuple(upstreams))
        state.divide_connections(dict.fromkeys(services, connections), 100.0)
        states.append(state)
    return states


def shards() -> dict[str, int]:
    """Return the services of `gather_route`, each with two upstreams."""
    return {f"s{number}": 2 for number in range(SHARDS)}


class TestOneOfSeveralUpstreamsLimited(unittest.TestCase):
    @params(
        ("gather, even callers", gather_route(SHARDS, 0.9), shards(), ("s0-0",), 12.0, 45.0, 6),
        ("gather, low limit", gather_route(SHARDS, 0.9), shards(), ("s0-1",), 5.3, 45.0, 6),
        ("lookups", single_route(), {"desk": 4}, ("desk-0", "desk-1", "desk-2"), 2.5, 11.0, 6),
        ("large fleet", single_route(), {"desk": 4}, ("desk-0", "desk-2"), 0.8, 7.0, 74),
        ("large fleet in a burst", single_route(), {"desk": 4}, ("desk-0",), 10.0, 300.0, 74),
    )
    def test_limit_holds_and_all_callers_are_served(
        self,
        _name: str,
        route: Route,
        services: dict[str, int],
        limited: tuple[str, ...],
        per_s: float,
        load_per_s: float,
        instances: int,
    ) -> None:
        load = RateLimitLoad(fleet(instances, services), route, {})
        load.run(load_per_s, 5.0)
        load.limits = dict.fromkeys(limited, per_s)
        load.run(load_per_s, 30.0)
        for upstream_id in limited:
            most = load.most_in_window(upstream_id, WINDOW_S)
            self.assertLessEqual(most, allowed(per_s), upstream_id)
        self.assertEqual(load.refused, 0)

    @params([1.0, 1.0, 1.0, 1.0, 4.0, 4.0], [1.0, 1.0, 1.0, 0.1, 0.1, 0.1])
    def test_limit_holds_with_uneven_callers(self, weights: list[float]) -> None:
        states = fleet(6, shards())
        load = RateLimitLoad(states, gather_route(SHARDS, 0.9), {"s0-0": 12.0}, weights)
        load.run(45.0, 30.0)
        most = load.most_in_window("s0-0", WINDOW_S)
        self.assertLessEqual(most, allowed(12.0))
        self.assertEqual(load.refused, 0)


class TestAllUpstreamsLimited(unittest.TestCase):
    """Half of the load can be served: that half is, and the others are refused at once."""

    @params(
        ("gather", gather_route(SHARDS, 0.9), shards(), 10.0, 40.0, None, 0.8),
        ("lookups", single_route(), {"desk": 4}, 5.0, 40.0, None, 0.8),
        ("uneven", single_route(), {"desk": 4}, 5.0, 40.0, [1.0, 1.0, 1.0, 1.0, 2.0, 2.0], 0.8),
    )
    def test_what_the_limits_allow_is_served(
        self,
        _name: str,
        route: Route,
        services: dict[str, int],
        per_s: float,
        load_per_s: float,
        weights: list[float] | None,
        least_use: float,
    ) -> None:
        names = [
            f"{service}-{number}" for service in services for number in range(services[service])
        ]
        load = RateLimitLoad(fleet(6, services), route, dict.fromkeys(names, per_s), weights)
        load.run(load_per_s, 5.0)
        since, answered = load.now, load.answered
        load.run(load_per_s, 40.0)
        for name in names:
            self.assertLessEqual(load.most_in_window(name, WINDOW_S), allowed(per_s))
        replicas = sum(services.values()) / max(1, len(route.shards))
        possible = replicas * per_s * 40.0
        self.assertGreaterEqual(load.answered - answered, least_use * possible)
        # Refused requests have sent nothing: no token is spent on an answer that nobody gets.
        sent = load.sent_between(names, since, load.now)
        self.assertLessEqual(sent, (load.answered - answered) * max(1, len(route.shards)))


class TestEndOfALimit(unittest.TestCase):
    @params(12.0, 0.3, 0.0)
    def test_upstream_is_used_again_after_its_limit(self, per_s: float) -> None:
        load = RateLimitLoad(fleet(6, {"desk": 2}), single_route(), {"desk-0": per_s})
        load.run(60.0, 20.0)
        self.assertLessEqual(load.most_in_window("desk-0", WINDOW_S), allowed(per_s))
        load.limits = {}
        load.run(60.0, 15.0)
        since = load.now
        load.run(60.0, 10.0)
        self.assertGreater(load.sent_between(["desk-0"], since, load.now), 200)
        self.assertEqual(load.refused, 0)


class TestShardOwners(unittest.TestCase):
    def test_the_owners_of_a_shard_use_its_whole_limit(self) -> None:
        """Of 80 instances one in each data centre sends to an upstream of a shard."""
        states = fleet(80, shards(), connections=60, sharded=True)
        self.assertTrue(states[0].uses_shard_owners)
        names = [f"s{number}-{letter}" for number in range(SHARDS) for letter in "01"]
        owners = states[:2]
        load = RateLimitLoad(owners, gather_route(SHARDS, 0.9), dict.fromkeys(names, 6.0))
        load.run(24.0, 40.0)
        for name in names:
            self.assertLessEqual(load.most_in_window(name, WINDOW_S), allowed(6.0))
        self.assertGreaterEqual(load.answered, 0.8 * 40.0 * 12.0)
