"""Request of a data folder to join the membership."""

import msgspec


class JoinRequest(msgspec.Struct, frozen=True, tag="raft-join-request"):
    """Asks the leader to add the data folder of the sender as a learner."""

    sender: str
    sender_folder: str
    recipient: str
    term: int
