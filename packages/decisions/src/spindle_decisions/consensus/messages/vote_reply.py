"""Reply to a vote request."""

import msgspec


class VoteReply(msgspec.Struct, frozen=True, tag="raft-vote-reply"):
    """Whether the vote in `term` was granted; sent only after the vote is synced."""

    sender: str
    sender_folder: str
    recipient: str
    term: int
    granted: bool
