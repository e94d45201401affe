"""The kinds of consensus events."""

import enum


class RaftEventKind(enum.StrEnum):
    """Kind of a consensus event, as shown on the timeline."""

    LEADER_ELECTED = "leader-elected"
    LEADER_LOST = "leader-lost"
    MEMBERS_CHANGED = "members-changed"
    MEMBERS_FORCED = "members-forced"
    REPAIR_STEP = "repair-step"
    REFUSED = "refused"
    SNAPSHOT_TAKEN = "snapshot-taken"
