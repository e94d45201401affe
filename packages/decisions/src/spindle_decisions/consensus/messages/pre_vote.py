"""Pre-vote request of a node that wants to campaign."""

import msgspec


class PreVote(msgspec.Struct, frozen=True, tag="raft-pre-vote"):
    """Asks whether the recipient would vote for the sender in `term`, not entered yet."""

    sender: str
    sender_folder: str
    recipient: str
    term: int
    last_index: int
    last_term: int
