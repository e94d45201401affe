"""One route of the plan."""

import msgspec

from spindle_decisions.routing.weighted_service import WeightedService


class Route(msgspec.Struct, frozen=True):
    """Where requests of a host below a path prefix go, and what they may cost.

    A route has either `services`, of which one serves each request, or `shards`,
    which all serve a part of each request. `idempotent` says whether a request may
    run more than once. `aim_ms` is the time in which an answer has its full worth,
    `timeout_ms` the longest time that a caller is kept waiting. `max_attempts` bounds
    the upstreams that one request is sent to, for each shard separately. A gathered
    answer holds the greatest `top_records` records and is none below `least_share`
    of the shards.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_ms: int
    aim_ms: int
    max_attempts: int = 1
    priority: int = 0
    services: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    top_records: int = 0
    least_share: float = 0.0
