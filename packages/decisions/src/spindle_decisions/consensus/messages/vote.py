"""Vote request of a candidate."""

import msgspec


class Vote(msgspec.Struct, frozen=True, tag="raft-vote"):
    """Requests the vote in `term`, with index and term of the last log entry of the sender."""

    sender: str
    sender_folder: str
    recipient: str
    term: int
    last_index: int
    last_term: int
