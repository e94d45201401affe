"""One shard of a gathered request."""

import dataclasses

from spindle_decisions.routing.replica import Replica


@dataclasses.dataclass
class GatherShard:
    """Sends, failures and the part of one shard.

    `out` maps the tokens of sends without an end to the time they went out. `unsent`
    counts those of `tried` to which no byte went.
    """

    service: str
    tried_replicas: list[Replica] = dataclasses.field(default_factory=list)
    in_flight: dict[int, float] = dataclasses.field(default_factory=dict)
    part: object | None = None
    given_up: bool = False
    not_sent_count: int = 0
    hedged: bool = False
