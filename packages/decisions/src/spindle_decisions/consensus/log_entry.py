"""One entry of the replicated log."""

import msgspec

from spindle_decisions.consensus.entry_kind import EntryKind


class LogEntry(msgspec.Struct, frozen=True):
    """A log entry at `index`, appended by the leader of `term`.

    `data` is an encoded command or an encoded `MembershipSet`, or empty for a no-op.
    """

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""
