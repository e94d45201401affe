"""The state that a node has only while it leads."""

import collections
import dataclasses

from spindle_decisions.consensus.heartbeat_round import HeartbeatRound
from spindle_decisions.consensus.pending_read import PendingRead
from spindle_decisions.consensus.progress import Progress


@dataclasses.dataclass
class LeaderState:
    """Progress of the members, contact rounds and waiting reads of one term.

    `first_index` is the entry with which the term began. Nothing of this term is
    committed, and no membership change may start, before it is. `quorum_age_s` goes
    out with the messages and is worked out once for all that are sent together.
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
        """Return the number of the newest contact round."""
        return self.heartbeat_rounds[-1].number

    def heartbeat_round_started_at(self, number: int) -> float | None:
        """Return when a round started, `None` if that is too long ago."""
        offset = number - self.heartbeat_rounds[0].number
        if not 0 <= offset < len(self.heartbeat_rounds):
            return None
        return self.heartbeat_rounds[offset].started_at
