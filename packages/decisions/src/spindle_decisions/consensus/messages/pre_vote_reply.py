"""The answer to a pre-vote."""

import msgspec


class PreVoteReply(msgspec.Struct, frozen=True, tag="raft-pre-vote-reply"):
    """Whether a vote would be given.

    A grant repeats the term that was asked for, a refusal gives the own one.
    `removed` tells the sender that a committed membership, newer than its log,
    no longer holds it.
    """

    sender: str
    sender_folder: str
    recipient: str
    term: int
    granted: bool
    removed: bool = False
