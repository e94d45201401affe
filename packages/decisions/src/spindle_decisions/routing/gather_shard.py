"""State of one shard of a scatter-gather request."""

import dataclasses

from spindle_decisions.routing.replica import Replica
from spindle_decisions.routing.waiting_attempt import WaitingAttempt


@dataclasses.dataclass
class GatherShard:
    """Attempts of one shard and the part that it returned.

    `in_flight` maps attempt ids to the times of sending, of which `sent_at` is the
    newest. `not_sent_count` counts the `tried_replicas` to which no byte was sent.
    `waiting` is the attempt that waits for a connection. `retry_held` is set while a retry
    waits for the first part of the request. `given_up` is set once no attempt is in flight
    and none can follow.
    """

    service: str
    tried_replicas: list[Replica] = dataclasses.field(default_factory=list)
    in_flight: dict[int, float] = dataclasses.field(default_factory=dict)
    part: object | None = None
    given_up: bool = False
    not_sent_count: int = 0
    hedged: bool = False
    sent_at: float = 0.0
    waiting: WaitingAttempt | None = None
    retry_held: bool = False

    def attempt_count(self) -> int:
        """Return the number of attempts that count against the route's limit."""
        return len(self.tried_replicas) - self.not_sent_count

    def may_hedge(self) -> bool:
        """Return whether a hedge can still be sent beside the attempt in flight."""
        return bool(self.in_flight) and self.part is None and not self.hedged
