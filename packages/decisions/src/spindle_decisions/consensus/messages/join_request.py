"""The request of an unknown folder to be taken in."""

import msgspec


class JoinRequest(msgspec.Struct, frozen=True, tag="raft-join-request"):
    """Asks the leader to take the data folder of the sender in as a learner."""

    sender: str
    sender_folder: str
    recipient: str
    term: int
