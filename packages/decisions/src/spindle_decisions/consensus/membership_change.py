"""A requested change of the membership."""

import msgspec

from spindle_decisions.consensus.membership_change_kind import MembershipChangeKind


class MembershipChange(msgspec.Struct, frozen=True):
    """A change of the member `name`, with the reason that is stored in the log.

    `folder_id` is needed to add a learner or to replace a lost folder. If it is empty
    for `ADD_LEARNER`, the folder of the latest join request under this name is used.
    Example: `MembershipChange(MembershipChangeKind.REMOVE, "brest-b-1")`.
    """

    kind: MembershipChangeKind
    name: str
    folder_id: str = ""
    reason: str = ""
