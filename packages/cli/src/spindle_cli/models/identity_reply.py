"""Who a control instance is."""

import msgspec

from spindle_cli.models.membership_view import MembershipView


class IdentityReply(msgspec.Struct, frozen=True):
    """The identity of a control instance and its part in the agreement."""

    name: str
    folder_id: str
    blank: bool
    role: str = ""
    term: int = 0
    leader: str = ""
    membership: MembershipView = MembershipView()
