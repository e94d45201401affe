"""Reply to a pre-vote request."""

import msgspec


class PreVoteReply(msgspec.Struct, frozen=True, tag="raft-pre-vote-reply"):
    """Whether the vote would be granted.

    `term` is the requested term if granted, otherwise the current term of the replying
    node. `removed` is set if a committed membership, newer than the log of the
    requesting node, no longer contains that node.
    """

    sender: str
    sender_folder: str
    recipient: str
    term: int
    granted: bool
    removed: bool = False
