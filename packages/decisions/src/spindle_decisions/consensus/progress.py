"""Replication progress of one member, kept by the leader."""

import dataclasses
import math

from spindle_decisions.consensus.progress_mode import ProgressMode


@dataclasses.dataclass
class Progress:
    """The state of replication to the member with `folder_id`.

    The log up to `match_index` is on the disk of the member; `next_index` is sent next.
    `contact_at` is when the leader started the newest heartbeat round that the member
    answered; the answer itself may have arrived much later. `tracked_since` is when this
    leader began to replicate to the member. `announced_commit_index` is the commit index
    in the newest message to the member.
    """

    folder_id: str
    next_index: int
    match_index: int = 0
    mode: ProgressMode = ProgressMode.PROBE
    paused: bool = False
    contact_at: float = -math.inf
    tracked_since: float = -math.inf
    acked_heartbeat_round: int = -1
    snapshot_sent_at: float = -math.inf
    announced_commit_index: int = 0
