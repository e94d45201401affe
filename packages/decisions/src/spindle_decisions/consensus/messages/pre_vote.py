"""The question whether an election could be won."""

import msgspec


class PreVote(msgspec.Struct, frozen=True, tag="raft-pre-vote"):
    """Asks whether a vote would be given in `term`, which the sender has not entered yet."""

    sender: str
    sender_folder: str
    recipient: str
    term: int
    last_index: int
    last_term: int
