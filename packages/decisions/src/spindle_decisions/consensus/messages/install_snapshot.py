"""Message with a complete snapshot from the leader."""

import msgspec

from spindle_decisions.consensus.snapshot import Snapshot


class InstallSnapshot(msgspec.Struct, frozen=True, tag="raft-install-snapshot"):
    """The newest snapshot of the leader, for a member whose next entry is no longer in the log.

    `recipient_folder` is the folder that the leader lists for the recipient. The fields
    `contact_round` and `quorum_age_s` have the same meaning as in `Append`.
    """

    sender: str
    sender_folder: str
    recipient: str
    recipient_folder: str
    term: int
    snapshot: Snapshot
    contact_round: int
    quorum_age_s: float
