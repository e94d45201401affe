"""One route of the plan."""

import msgspec

from spindle_decisions.routing.weighted_service import WeightedService


class Route(msgspec.Struct, frozen=True):
    """Destination and limits of the requests for a host and a path prefix.

    A route has either `services`, of which one serves each request, or `shards`, each
    of which serves a part of every request. `idempotent` says whether a request may
    run more than once. `aim_ms` is the time in which an answer has its full worth,
    `timeout_ms` the maximum time until the caller gets a response. `max_attempts`
    limits the upstreams that one request is sent to, separately for each shard. The
    highest `priority` is 0; it does not affect routing. A gathered answer contains the
    greatest `top_records` records and needs at least `least_share` of the shards.
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

    def min_parts(self) -> int:
        """Return the number of parts that an answer needs; a least share of 0 needs none."""
        if self.least_share <= 0:
            return 0
        count = len(self.shards)
        for parts in range(1, count + 1):
            if parts / count >= self.least_share:
                return parts
        return count
