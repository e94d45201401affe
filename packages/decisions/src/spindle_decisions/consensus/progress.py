"""What a leader knows of one member."""

import dataclasses
import math

from spindle_decisions.consensus.progress_mode import ProgressMode


@dataclasses.dataclass
class Progress:
    """The state of replication to the member with `folder_id`.

    `match_index` is on the disk of the member, `next_index` is sent next.
    `contact_at` is when the leader started the newest round that the member
    answered; the answer itself may have come much later. `followed_at` is when this
    leader began to feed the member. `told_commit` is the
    commit index in the newest message to the member.
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
