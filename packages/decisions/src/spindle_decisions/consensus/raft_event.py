"""One consensus event of a node."""

import msgspec

from spindle_decisions.consensus.raft_event_kind import RaftEventKind


class RaftEvent(msgspec.Struct, frozen=True):
    """A consensus event with its term, the member concerned and the reason.

    `LEADER_LOST` also means that all reads which `poll` has not reported are dropped.
    """

    kind: RaftEventKind
    term: int
    reason: str
    peer: str = ""
