"""Routing state that all requests of an instance share."""

import math
import random
from collections.abc import Iterable

from spindle_decisions.routing import const
from spindle_decisions.routing.median_latency import MedianLatency
from spindle_decisions.routing.replica_pool import ReplicaPool
from spindle_decisions.routing.retry_budget import RetryBudget
from spindle_decisions.routing.retry_budget_limits import RetryBudgetLimits
from spindle_decisions.routing.route import Route
from spindle_decisions.util.units import MS_PER_S


class RoutingState:
    """Replicas, median latencies and retry budgets.

    `instances` is the number of instances that share budgets and connections. Until
    `instances_known_at` it may be too low, as some instances are not known yet. With
    `uses_shard_owners`, requests to `shard_services` go through the shard owners.
    """

    def __init__(
        self,
        data_center: str,
        limits: RetryBudgetLimits,
        rng: random.Random,
        instances_known_at: float = 0.0,
    ) -> None:
        self.instances_known_at = instances_known_at
        self.budget_limits = limits
        self.rng = rng
        self.replicas = ReplicaPool(data_center, rng)
        self.instances = 1
        self.median_latencies: dict[str, MedianLatency] = {}
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.shard_services: frozenset[str] = frozenset()
        self.uses_shard_owners = False
        self.last_used_at: dict[str, float] = {}
        self.last_trial_at: dict[str, float] = {}

    def median_latency(self, route: Route) -> MedianLatency:
        """Return the median latency of one upstream on a route."""
        median = self.median_latencies.get(route.name)
        if median is None:
            ratio = (
                const.INITIAL_MEDIAN_RATIO_GATHER
                if route.shards
                else const.INITIAL_MEDIAN_RATIO_SINGLE
            )
            median = MedianLatency(max(1, route.aim_ms) * ratio / MS_PER_S)
            self.median_latencies[route.name] = median
        return median

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            budget = self.retry_budgets[service] = RetryBudget(self.budget_limits)
        return budget

    def try_acquire_retry(self, service: str, now: float) -> bool:
        """Take one retry from the budget of a service; return whether it was allowed."""
        sharers = self.instances
        if self.uses_shard_owners and service in self.shard_services:
            sharers = self.shard_owner_count()
        return self.retry_budget(service).try_acquire(
            now, sharers, with_burst=now >= self.instances_known_at
        )

    def shard_owner_count(self) -> int:
        """Return how many instances share the connections to the upstreams of an owned shard."""
        return const.OWNERS_PER_DATA_CENTER * self.data_center_count()

    def data_center_count(self) -> int:
        """Return the number of data centres that have upstreams; at least one."""
        return max(1, len({item.listed.data_center for item in self.replicas.replicas.values()}))

    def divide_connections(self, max_connections: dict[str, int], now: float) -> None:
        """Set each replica's shares of the limits and whether shard owners are used.

        `max_connections` maps a service to the connections of one replica.
        """
        instances = self.instances
        if now < self.instances_known_at:
            instances = max(instances, const.STARTUP_MIN_INSTANCES)
        self.replicas.divide_connections(max_connections, instances)
        min_connections = min(
            (max_connections.get(name, instances) for name in self.shard_services),
            default=instances,
        )
        self.uses_shard_owners = min_connections < const.MIN_DIRECT_CONNECTIONS * self.instances
        if self.uses_shard_owners:
            owned_connections = {
                name: connections
                for name, connections in max_connections.items()
                if name in self.shard_services
            }
            self.replicas.divide_connections(
                owned_connections, self.shard_owner_count(), only_services=owned_connections.keys()
            )
        # Two instances of a data centre own a shard only while it passes from one to the other.
        owned = self.shard_services if self.uses_shard_owners else frozenset()
        self.replicas.divide_rate_limits(instances, owned, self.data_center_count())

    def can_serve(self, route: Route, now: float) -> bool:
        """Return whether enough services of a route are reachable."""
        if not route.shards:
            return any(
                self.replicas.is_service_reachable(item.service, now) for item in route.services
            )
        reachable = sum(self.replicas.is_service_reachable(name, now) for name in route.shards)
        return reachable / len(route.shards) >= route.least_share

    def admit_request(self, route: Route, now: float) -> bool:
        """Return whether a request is admitted, and mark the route as active.

        While a route cannot be served, its requests are refused before anything is
        sent, except one per `TRIAL_REQUEST_INTERVAL_S` that detects its recovery.
        """
        self.last_used_at[route.name] = now
        if self.can_serve(route, now):
            return True
        if now - self.last_trial_at.get(route.name, 0.0) < const.TRIAL_REQUEST_INTERVAL_S:
            return False
        self.last_trial_at[route.name] = now
        return True

    def has_unservable_route(self, routes: Iterable[Route], now: float) -> bool:
        """Return whether this instance cannot serve one of the active routes."""
        return any(
            now - self.last_used_at.get(route.name, -math.inf) < const.ROUTE_ACTIVE_WINDOW_S
            and not self.can_serve(route, now)
            for route in routes
        )

    def pick_service(self, route: Route) -> str:
        """Return a random service of the route, by the weights."""
        if len(route.services) == 1:
            return route.services[0].service
        names = [item.service for item in route.services]
        return self.rng.choices(names, [item.weight for item in route.services])[0]
