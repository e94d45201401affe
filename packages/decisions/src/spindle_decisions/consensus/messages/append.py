"""AppendEntries message of a leader, also its heartbeat."""

import msgspec

from spindle_decisions.consensus.log_entry import LogEntry


class Append(msgspec.Struct, frozen=True, tag="raft-append"):
    """Entries that follow the one at `prev_index` with `prev_term`; a heartbeat if there are none.

    `recipient_folder` is the folder that the leader lists for the recipient; a node with
    another folder must send a join request. `commit_index` is that of the leader.
    `contact_round` is the heartbeat round; its echo proves that the recipient followed the
    leader after the round started. `quorum_age_s` is the age of the last contact of the
    leader with a quorum.
    """

    sender: str
    sender_folder: str
    recipient: str
    recipient_folder: str
    term: int
    prev_index: int
    prev_term: int
    commit_index: int
    contact_round: int
    quorum_age_s: float
    entries: tuple[LogEntry, ...] = ()
