"""Fixtures of routed requests: routes, upstreams and routing states."""

import random

from spindle_decisions.routing.listed_upstream import ListedUpstream
from spindle_decisions.routing.retry_budget_limits import RetryBudgetLimits
from spindle_decisions.routing.route import Route
from spindle_decisions.routing.routed_service import RoutedService
from spindle_decisions.routing.routing_state import RoutingState
from spindle_decisions.routing.weighted_service import WeightedService

HERE = "rennes-a"
AWAY = "brest-b"
HOST = "catalogue.example"
LIMITS = RetryBudgetLimits(ratio=0.2, window_s=10.0, burst=50)


def single_route(idempotent: bool = True, max_attempts: int = 2, service: str = "desk") -> Route:
    """Return a route to one service."""
    return Route(
        name="lookup",
        host=HOST,
        prefix="/lookup/",
        idempotent=idempotent,
        timeout_ms=2_000,
        aim_ms=400,
        max_attempts=max_attempts,
        services=(WeightedService(service),),
    )


def gather_route(shards: int = 4, least_share: float = 0.75, max_attempts: int = 2) -> Route:
    """Return a scatter-gather route over `shards` services."""
    return Route(
        name="search",
        host=HOST,
        prefix="/search/",
        idempotent=True,
        timeout_ms=600,
        aim_ms=100,
        max_attempts=max_attempts,
        shards=tuple(f"s{number}" for number in range(shards)),
        top_records=3,
        least_share=least_share,
    )


def listed(name: str, service: str, data_center: str = HERE, **overrides: object) -> ListedUpstream:
    """Return a listed upstream, by default with two slots."""
    fields: dict[str, object] = {"slots": 2, **overrides}
    port = 1_000 + sum(name.encode())
    return ListedUpstream(name, service, "127.0.0.1", port, data_center, **fields)  # type: ignore[arg-type]


def routing_state(
    *upstreams: ListedUpstream, instances: int = 1, now: float = 100.0
) -> RoutingState:
    """Return a routing state with a list of upstreams that have plenty of connections."""
    state = RoutingState(HERE, LIMITS, random.Random(7))
    state.instances = instances
    state.replicas.update_upstreams(now, upstreams)
    state.replicas.divide_connections({item.service: 100 for item in upstreams}, instances)
    return state


def shard_routing_state(shards: int = 4, replicas: int = 2) -> RoutingState:
    """Return a routing state with `replicas` upstreams for each shard of `gather_route`."""
    names = [f"s{number}" for number in range(shards)]
    return routing_state(
        *(
            listed(f"{name}-{letter}", name, data_center)
            for name in names
            for letter, data_center in (("a", HERE), ("b", AWAY))[:replicas]
        )
    )


def service(name: str) -> RoutedService:
    """Return a service of a plan."""
    return RoutedService(name, 25)
