"""The membership that a control instance holds."""

import msgspec

from spindle_cli.models.member_row import MemberRow


class MembershipView(msgspec.Struct, frozen=True):
    """The members of the agreement, voters and learners."""

    members: tuple[MemberRow, ...] = ()
