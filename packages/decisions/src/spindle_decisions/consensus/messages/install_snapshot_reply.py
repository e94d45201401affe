"""Reply to a snapshot."""

import msgspec


class InstallSnapshotReply(msgspec.Struct, frozen=True, tag="raft-install-snapshot-reply"):
    """The log of the sender equals that of the leader up to `match_index` and is on disk."""

    sender: str
    sender_folder: str
    recipient: str
    term: int
    match_index: int
    contact_round: int
