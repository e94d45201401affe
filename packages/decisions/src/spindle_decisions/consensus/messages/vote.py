"""The request for a vote."""

import msgspec


class Vote(msgspec.Struct, frozen=True, tag="raft-vote"):
    """Asks for the vote in `term`; the last entry of the log of the sender goes with it."""

    sender: str
    sender_folder: str
    recipient: str
    term: int
    last_index: int
    last_term: int
