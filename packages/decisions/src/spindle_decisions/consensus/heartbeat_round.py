"""One round of contact between a leader and the members."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HeartbeatRound:
    """Round `number`, started by the leader at `started_at` on its own clock."""

    number: int
    started_at: float
