"""The kinds of events of a node."""

import enum


class RaftEventKind(enum.StrEnum):
    """What happened in the agreement, for the time line."""

    LEADER_ELECTED = "leader-elected"
    LEADER_LOST = "leader-lost"
    MEMBERS_CHANGED = "members-changed"
    MEMBERS_FORCED = "members-forced"
    REPAIR_STEP = "repair-step"
    REFUSED = "refused"
    SNAPSHOT_TAKEN = "snapshot-taken"
