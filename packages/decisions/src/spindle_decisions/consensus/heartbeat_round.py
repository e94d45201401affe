"""One heartbeat round of a leader."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HeartbeatRound:
    """Heartbeat round `number`, started at `started_at` on the clock of the leader."""

    number: int
    started_at: float
