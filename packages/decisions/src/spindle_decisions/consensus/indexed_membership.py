"""A membership and the log index from which it is in force."""

import dataclasses

from spindle_decisions.consensus.membership_set import MembershipSet


@dataclasses.dataclass(frozen=True)
class IndexedMembership:
    """The membership in force from the entry at `index`, appended in `term`."""

    index: int
    term: int
    membership: MembershipSet
