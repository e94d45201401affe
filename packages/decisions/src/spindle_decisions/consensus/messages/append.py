"""Entries and heartbeat of a leader."""

import msgspec

from spindle_decisions.consensus.log_entry import LogEntry


class Append(msgspec.Struct, frozen=True, tag="raft-append"):
    """Entries that follow `prev_index` of `prev_term`; without entries a heartbeat.

    `recipient_folder` is the folder that the leader counts as the recipient; another
    one has to ask for admission. `commit_index` is the commit index of the leader.
    `contact_round` is echoed and proves that the sender was followed after it started
    that round. `quorum_age_s` is the age of the last contact of the leader with a quorum.
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
