"""The answer to a vote request."""

import msgspec


class VoteReply(msgspec.Struct, frozen=True, tag="raft-vote-reply"):
    """Whether the vote of `term` was given; leaves only after the vote was synced."""

    sender: str
    sender_folder: str
    recipient: str
    term: int
    granted: bool
