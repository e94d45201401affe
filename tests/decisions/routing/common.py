"""Fixtures of routed requests: routes, upstreams and books."""

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
BOUNDS = RetryBudgetLimits(ratio=0.2, window_s=10.0, burst=50)


def single_route(idempotent: bool = True, attempts: int = 2, service: str = "desk") -> Route:
    """Return a route to one service."""
    return Route(
        name="lookup",
        host=HOST,
        prefix="/lookup/",
        idempotent=idempotent,
        timeout_ms=2_000,
        aim_ms=400,
        max_attempts=attempts,
        services=(WeightedService(service),),
    )


def gather_route(shards: int = 4, least: float = 0.75, attempts: int = 2) -> Route:
    """Return a route that gathers from `shards` services."""
    return Route(
        name="search",
        host=HOST,
        prefix="/search/",
        idempotent=True,
        timeout_ms=600,
        aim_ms=100,
        max_attempts=attempts,
        shards=tuple(f"s{number}" for number in range(shards)),
        top_records=3,
        least_share=least,
    )


def listed(name: str, service: str, data_center: str = HERE, **more: object) -> ListedUpstream:
    """Return an upstream of the list, by default with two slots."""
    fields: dict[str, object] = {"slots": 2, **more}
    port = 1_000 + sum(name.encode())
    return ListedUpstream(name, service, "127.0.0.1", port, data_center, **fields)  # type: ignore[arg-type]


def book(*upstreams: ListedUpstream, instances: int = 1, now: float = 100.0) -> RoutingState:
    """Return a book that holds a list; every upstream has connections to spare."""
    made = RoutingState(HERE, BOUNDS, random.Random(7))
    made.instances = instances
    made.replicas.update_upstreams(now, upstreams)
    made.replicas.divide_connections({item.service: 100 for item in upstreams}, instances)
    return made


def shard_book(shards: int = 4, replicas: int = 2) -> RoutingState:
    """Return a book with `replicas` upstreams for each shard of `gather_route`."""
    names = [f"s{number}" for number in range(shards)]
    return book(
        *(
            listed(f"{name}-{letter}", name, data_center)
            for name in names
            for letter, data_center in (("a", HERE), ("b", AWAY))[:replicas]
        )
    )


def service(name: str) -> RoutedService:
    """Return a service of a plan."""
    return RoutedService(name, 25)
