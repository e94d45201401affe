"""State of one shard of a scatter-gather request."""

import dataclasses

from spindle_decisions.routing.replica import Replica


@dataclasses.dataclass
class GatherShard:
    """Attempts of one shard and the part that it returned.

    `in_flight` maps attempt ids to the times of sending. `not_sent_count` counts the
    `tried_replicas` to which no byte was sent. `given_up` is set once no attempt is in
    flight and none can follow.
    """

    service: str
    tried_replicas: list[Replica] = dataclasses.field(default_factory=list)
    in_flight: dict[int, float] = dataclasses.field(default_factory=dict)
    part: object | None = None
    given_up: bool = False
    not_sent_count: int = 0
    hedged: bool = False
