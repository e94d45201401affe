"""Reply to an AppendEntries message."""

import msgspec


class AppendReply(msgspec.Struct, frozen=True, tag="raft-append-reply"):
    """Whether the log of the sender matched, and up to which index it is synced.

    With `success` the log of the sender equals that of the leader up to `match_index`
    and is on disk. Otherwise the entry at `rejected_index` did not match, and
    `hint_index` and `hint_term` identify the newest entry that may match.
    """

    sender: str
    sender_folder: str
    recipient: str
    term: int
    success: bool
    match_index: int
    contact_round: int
    rejected_index: int = 0
    hint_index: int = 0
    hint_term: int = 0
