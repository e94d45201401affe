"""Who a control instance is."""

import msgspec

from spindle_decisions.consensus.membership_set import MembershipSet


class IdentityReply(msgspec.Struct, frozen=True):
    """The identity of a control instance and its part in the agreement."""

    name: str
    folder_id: str
    blank: bool
    role: str
    term: int
    leader: str
    commit_index: int
    applied_index: int
    membership: MembershipSet
