"""One event of a node."""

import msgspec

from spindle_decisions.consensus.raft_event_kind import RaftEventKind


class RaftEvent(msgspec.Struct, frozen=True):
    """What happened, in which term, about which member, and why in one sentence.

    `LEADER_LOST` also means that every read which is not confirmed yet is dropped.
    """

    kind: RaftEventKind
    term: int
    reason: str
    peer: str = ""
