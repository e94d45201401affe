"""A snapshot of the replicated state."""

import msgspec

from spindle_decisions.consensus.membership_set import MembershipSet


class Snapshot(msgspec.Struct, frozen=True):
    """The state after the entry at `index` of `term`, with the membership in force there.

    `data` is the encoded state.
    """

    index: int
    term: int
    membership: MembershipSet
    data: bytes
