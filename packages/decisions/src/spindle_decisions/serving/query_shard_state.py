"""The state of one service within a query."""

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
    """The attempts at one service of a query, and its rows once it has answered.

    `excluded_replicas` are the replicas already tried. `next_kind` is the reason
    for the next sub-request. `snapshot_gone` is set once a replica no longer held
    the pinned snapshot, and `snapshot_lookups` counts the look-ups of another
    snapshot since then. A shard is settled once it is covered or given up.
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
        """Return whether no further answer is expected."""
        return self.covered or self.given_up
