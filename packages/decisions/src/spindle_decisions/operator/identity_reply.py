"""The identity of a control instance."""

import msgspec

from spindle_decisions.consensus.membership_set import MembershipSet


class IdentityReply(msgspec.Struct, frozen=True):
    """The identity of a control instance and its consensus state.

    `blank` is true if it does not belong to a deployment yet.
    """

    name: str
    folder_id: str
    blank: bool
    role: str
    term: int
    leader: str
    commit_index: int
    applied_index: int
    membership: MembershipSet
