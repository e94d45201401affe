"""The answer to entries or a heartbeat."""

import msgspec


class AppendReply(msgspec.Struct, frozen=True, tag="raft-append-reply"):
    """Whether the log matched, and up to where it is synced.

    With `success` the log of the sender equals the one of the leader up to
    `match_index` and is on disk. Otherwise the entry at `rejected_index` did not
    match; `hint_index` and `hint_term` name the newest entry that may match.
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
