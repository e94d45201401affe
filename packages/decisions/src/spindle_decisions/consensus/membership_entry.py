"""The content of a membership entry."""

import msgspec

from spindle_decisions.consensus.member import Member
from spindle_decisions.consensus.membership_set import MembershipSet


class MembershipEntry(msgspec.Struct, frozen=True):
    """The members from this entry on and why they changed.

    It also decodes as a `MembershipSet`, which leaves the reason out.
    """

    members: tuple[Member, ...] = ()
    reason: str = ""

    def membership(self) -> MembershipSet:
        """Return the membership without the reason."""
        return MembershipSet(self.members)


def encode_membership(membership: MembershipSet, reason: str) -> bytes:
    """Return the data of a membership entry."""
    return msgspec.msgpack.encode(MembershipEntry(membership.members, reason))


def decode_membership(data: bytes) -> MembershipEntry:
    """Return the content of a membership entry."""
    return msgspec.msgpack.decode(data, type=MembershipEntry)
