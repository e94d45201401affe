"""One change of the membership."""

import msgspec

from spindle_decisions.consensus.membership_change_kind import MembershipChangeKind


class MembershipChange(msgspec.Struct, frozen=True):
    """A change of the member `name`, with the reason that is kept in the log.

    `folder_id` is needed to add a learner or to replace a lost folder. Left empty
    for `ADD_LEARNER`, the folder of the instance that last asked under this name
    is taken. Example: `MembershipChange(MembershipChangeKind.REMOVE, "brest-b-1")`.
    """

    kind: MembershipChangeKind
    name: str
    folder_id: str = ""
    reason: str = ""
