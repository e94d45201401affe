"""Memberships by log index."""

from spindle_decisions.consensus.entry_kind import EntryKind
from spindle_decisions.consensus.indexed_membership import IndexedMembership
from spindle_decisions.consensus.log_entry import LogEntry
from spindle_decisions.consensus.membership_entry import decode_membership
from spindle_decisions.consensus.membership_set import MembershipSet
from spindle_decisions.consensus.snapshot import Snapshot


class MembershipHistory:
    """The membership of the newest snapshot and of each membership entry after it.

    A membership is in force as soon as its entry is in the log, committed or not,
    until a later membership follows or its entry is truncated.
    """

    def __init__(self) -> None:
        self.memberships: list[IndexedMembership] = [IndexedMembership(0, 0, MembershipSet())]

    @property
    def latest(self) -> IndexedMembership:
        """Return the membership in force."""
        return self.memberships[-1]

    def at(self, index: int) -> IndexedMembership:
        """Return the membership in force at `index`."""
        for indexed in reversed(self.memberships):
            if indexed.index <= index:
                return indexed
        return self.memberships[0]

    def append(self, entry: LogEntry) -> None:
        """Add the membership of an appended entry; ignore entries of other kinds."""
        if entry.kind is not EntryKind.MEMBERSHIP:
            return
        membership = decode_membership(entry.data).membership()
        self.memberships.append(IndexedMembership(entry.index, entry.term, membership))

    def truncate(self, index: int) -> None:
        """Drop the memberships of entries at `index` and after it."""
        while len(self.memberships) > 1 and self.memberships[-1].index >= index:
            self.memberships.pop()

    def reset(self, snapshot: Snapshot) -> None:
        """Replace the history by the membership of a snapshot."""
        self.memberships = [IndexedMembership(snapshot.index, snapshot.term, snapshot.membership)]

    def compact(self, index: int) -> None:
        """Drop the memberships that were superseded at or before `index`."""
        while len(self.memberships) > 1 and self.memberships[1].index <= index:
            self.memberships.pop(0)
