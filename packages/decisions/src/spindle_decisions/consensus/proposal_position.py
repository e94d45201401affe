"""Where a proposal stands in the log."""

import msgspec


class ProposalPosition(msgspec.Struct, frozen=True):
    """Index and term of a proposed entry.

    The proposal is accepted once an entry with just this index and term is
    handed out as committed. Another term at the index means that it was lost.
    """

    index: int
    term: int
