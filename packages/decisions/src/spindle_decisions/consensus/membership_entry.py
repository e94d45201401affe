"""Content of a membership entry in the log."""

import msgspec

from spindle_decisions.consensus.member import Member
from spindle_decisions.consensus.membership_set import MembershipSet


class MembershipEntry(msgspec.Struct, frozen=True):
    """The members from this entry on, and the reason of the change.

    The encoded form also decodes as a `MembershipSet`, without the reason.
    """

    members: tuple[Member, ...] = ()
    reason: str = ""

    def membership(self) -> MembershipSet:
        """Return the membership without the reason."""
        return MembershipSet(self.members)


def encode_membership(membership: MembershipSet, reason: str) -> bytes:
    """Return the encoded data of a membership entry."""
    return msgspec.msgpack.encode(MembershipEntry(membership.members, reason))


def decode_membership(data: bytes) -> MembershipEntry:
    """Return the decoded data of a membership entry."""
    return msgspec.msgpack.decode(data, type=MembershipEntry)
