"""Position of a proposal in the log."""

import msgspec


class ProposalPosition(msgspec.Struct, frozen=True):
    """Index and term of a proposed entry.

    The proposal succeeded once an entry with this index and term is handed out as committed.
    A committed entry of another term at the index means that the proposal was lost.
    """

    index: int
    term: int
