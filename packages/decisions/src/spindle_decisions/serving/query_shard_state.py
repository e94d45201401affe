"""One service within one query."""

import dataclasses

from spindle_decisions.serving.attempt_kind import AttemptKind
from spindle_decisions.serving.upstream_state import UpstreamState


@dataclasses.dataclass(slots=True)
class Attempt:
    """A sub-request in flight."""

    number: int
    shard: "QueryShardState"
    state: UpstreamState
    kind: AttemptKind
    sent_at: float


@dataclasses.dataclass(slots=True)
class QueryShardState:
    """What is known of one service of a query.

    `avoid` holds the replicas that were tried; `next_kind` is the cause of the
    next sub-request. `snapshot_gone` tells that a replica no longer held the
    pinned snapshot, `looks` how often a newer one was looked for since. A shard
    is settled when it is covered or lost.
    """

    service: str
    next_kind: AttemptKind = AttemptKind.PRIMARY
    in_flight: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    excluded_replicas: set[str] = dataclasses.field(default_factory=set)
    attempts_sent: int = 0
    waiting: bool = False
    snapshot_gone: bool = False
    snapshot_lookups: int = 0
    covered: bool = False
    given_up: bool = False
    rows: object = None

    @property
    def is_settled(self) -> bool:
        """Tell whether nothing more is expected of this shard."""
        return self.covered or self.given_up
