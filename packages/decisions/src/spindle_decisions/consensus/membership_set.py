"""The set of control instances that take part in the consensus."""

import msgspec

from spindle_decisions.consensus.member import Member


class MembershipSet(msgspec.Struct, frozen=True):
    """Voters and learners, sorted by name; changed one member at a time."""

    members: tuple[Member, ...] = ()

    def voters(self) -> tuple[Member, ...]:
        """Return the voting members."""
        return tuple(member for member in self.members if member.voter)

    def find(self, name: str) -> Member | None:
        """Return the member of that name, or `None`."""
        for member in self.members:
            if member.name == name:
                return member
        return None
