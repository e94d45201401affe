"""One attempt at one upstream."""

import dataclasses
import itertools

from spindle_decisions.routing.replica import Replica

_ATTEMPT_IDS = itertools.count(1)


@dataclasses.dataclass(frozen=True)
class UpstreamAttempt:
    """One attempt to send a request to `replica`.

    `shard_index` is the position of the shard in the route, 0 for a route without
    shards. `cause` is `first`, `hedge` or `retry`.
    """

    attempt_id: int
    shard_index: int
    replica: Replica
    cause: str


def next_attempt_id() -> int:
    """Return an id that no other attempt or owner request of this process has."""
    return next(_ATTEMPT_IDS)
