"""What all requests of an instance share."""

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
    """Upstreams, usual times and budgets; `instances` counts those that share a budget.

    Until `sure_at` that count may be too low, as not all have been heard of yet. The
    services in `owned` are shards; where it is `crowded` they have owners.
    """

    def __init__(
        self, data_center: str, bounds: RetryBudgetLimits, rng: random.Random, sure_at: float = 0.0
    ) -> None:
        self.sure_at = sure_at
        self.bounds = bounds
        self.rng = rng
        self.replicas = ReplicaPool(data_center, rng)
        self.instances = 1
        self.usuals: dict[str, MedianLatency] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self.owned: frozenset[str] = frozenset()
        self.crowded = False
        self.used_at: dict[str, float] = {}
        self.tried_at: dict[str, float] = {}

    def usual(self, route: Route) -> MedianLatency:
        """Return the usual time of one upstream's answer on a route."""
        usual = self.usuals.get(route.name)
        if usual is None:
            part = (
                const.INITIAL_MEDIAN_RATIO_GATHER
                if route.shards
                else const.INITIAL_MEDIAN_RATIO_SINGLE
            )
            usual = MedianLatency(max(1, route.aim_ms) * part / MS_PER_S)
            self.usuals[route.name] = usual
        return usual

    def budget(self, service: str) -> RetryBudget:
        """Return the budget of repeats towards a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = RetryBudget(self.bounds)
        return budget

    def take_repeat(self, service: str, now: float) -> bool:
        """Take one repeat from the budget of a service; return whether there was one."""
        sharers = self.instances
        if self.crowded and service in self.owned:
            sharers = self.owners()
        return self.budget(service).take(now, sharers, fixed=now >= self.sure_at)

    def owners(self) -> int:
        """Return how many instances share the upstreams of a shard that has owners."""
        places = {item.listed.data_center for item in self.replicas.replicas.values()}
        return const.OWNERS_PER_DATA_CENTER * max(1, len(places))

    def share_connections(self, bounds: dict[str, int], now: float) -> None:
        """Give each upstream the share of its connections that this instance may hold."""
        instances = self.instances
        if now < self.sure_at:
            instances = max(instances, const.STARTUP_MIN_INSTANCES)
        self.replicas.share_connections(bounds, instances)
        least = min((bounds.get(name, instances) for name in self.owned), default=instances)
        self.crowded = least < const.MIN_DIRECT_CONNECTIONS * self.instances
        if self.crowded:
            owned = {name: bound for name, bound in bounds.items() if name in self.owned}
            self.replicas.share_connections(owned, self.owners(), only=owned.keys())

    def servable(self, route: Route, now: float) -> bool:
        """Return whether enough of a route's services can be reached as far as is known."""
        if not route.shards:
            return any(self.replicas.reachable(item.service, now) for item in route.services)
        reached = sum(self.replicas.reachable(name, now) for name in route.shards)
        return reached / len(route.shards) >= route.least_share

    def admit(self, route: Route, now: float) -> bool:
        """Return whether a request is to be tried, and note that the route is in use.

        What cannot be served is refused before anything is sent, but for one request
        at a time that finds out whether it can be served again.
        """
        self.used_at[route.name] = now
        if self.servable(route, now):
            return True
        if now - self.tried_at.get(route.name, 0.0) < const.TRIAL_REQUEST_INTERVAL_S:
            return False
        self.tried_at[route.name] = now
        return True

    def lacks_service(self, routes: Iterable[Route], now: float) -> bool:
        """Return whether a route in use cannot be served from here."""
        return any(
            now - self.used_at.get(route.name, -math.inf) < const.ROUTE_ACTIVE_WINDOW_S
            and not self.servable(route, now)
            for route in routes
        )

    def pick_service(self, route: Route) -> str:
        """Return the service of a request by the weights of its route."""
        if len(route.services) == 1:
            return route.services[0].service
        names = [item.service for item in route.services]
        return self.rng.choices(names, [item.weight for item in route.services])[0]
