"""Volatile state of a leader."""

import collections
import dataclasses

from spindle_decisions.consensus.heartbeat_round import HeartbeatRound
from spindle_decisions.consensus.pending_read import PendingRead
from spindle_decisions.consensus.progress import Progress


@dataclasses.dataclass
class LeaderState:
    """Replication progress, heartbeat rounds and pending reads of a leader in one term.

    `first_index` is the index of the first entry of the term. Until it is committed,
    no entry of this term is committed and no membership change may start.
    `quorum_age_s` is sent with each message and computed once per group of messages.
    """

    first_index: int
    progress: dict[str, Progress] = dataclasses.field(default_factory=dict)
    heartbeat_rounds: collections.deque[HeartbeatRound] = dataclasses.field(
        default_factory=collections.deque
    )
    pending_reads: list[PendingRead] = dataclasses.field(default_factory=list)
    next_heartbeat_at: float = 0.0
    quorum_age_s: float = 0.0

    @property
    def latest_heartbeat_round(self) -> int:
        """Return the number of the newest heartbeat round."""
        return self.heartbeat_rounds[-1].number

    def heartbeat_round_started_at(self, number: int) -> float | None:
        """Return when a heartbeat round started, `None` if its record was dropped."""
        offset = number - self.heartbeat_rounds[0].number
        if not 0 <= offset < len(self.heartbeat_rounds):
            return None
        return self.heartbeat_rounds[offset].started_at
