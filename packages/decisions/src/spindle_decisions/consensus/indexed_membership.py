"""A membership and the place in the log from which it holds."""

import dataclasses

from spindle_decisions.consensus.membership_set import MembershipSet


@dataclasses.dataclass(frozen=True)
class IndexedMembership:
    """The membership that is in force from the entry at `index` of `term` on."""

    index: int
    term: int
    membership: MembershipSet
