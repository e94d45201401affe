"""The replicated log in memory."""

import bisect

from spindle_decisions.consensus.log_entry import LogEntry
from spindle_decisions.consensus.snapshot import Snapshot

ENTRY_OVERHEAD_BYTES = 32


class RaftLog:
    """The entries after `base_index`, and the newest snapshot.

    The index of the snapshot is at least `base_index`. Entries that the snapshot covers
    are retained, so that a member which lags only a little needs no snapshot.
    """

    def __init__(self) -> None:
        self.base_index = 0
        self.base_term = 0
        self.entries: list[LogEntry] = []
        self.snapshot: Snapshot | None = None

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`, `None` if the log does not hold it."""
        if index == self.base_index:
            return self.base_term
        if index < self.base_index or index > self.last_index:
            return None
        return self.entries[index - self.base_index - 1].term

    def append(self, entry: LogEntry) -> None:
        """Append the entry that follows the last one."""
        self.entries.append(entry)

    def truncate(self, index: int) -> None:
        """Remove the entry at `index` and all after it."""
        del self.entries[index - self.base_index - 1 :]

    def reset(self, snapshot: Snapshot) -> None:
        """Replace all entries by a snapshot."""
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self.entries = []
        self.snapshot = snapshot

    def compact(self, snapshot: Snapshot, retained_log_entries: int) -> None:
        """Set the newest snapshot; drop all but `retained_log_entries` entries before its index."""
        self.snapshot = snapshot
        base_index = min(snapshot.index - retained_log_entries, self.last_index)
        if base_index <= self.base_index:
            return
        term = self.term_at(base_index)
        del self.entries[: base_index - self.base_index]
        self.base_index = base_index
        self.base_term = term or 0

    def entries_between(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Return the entries from `first` to `last`, both included."""
        start = first - self.base_index - 1
        return tuple(self.entries[start : last - self.base_index])

    def entries_from(self, first: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries from `first` on, up to about `max_bytes` but at least one if any."""
        start = first - self.base_index - 1
        size = 0
        stop = start
        while stop < len(self.entries):
            size += len(self.entries[stop].data) + ENTRY_OVERHEAD_BYTES
            if size > max_bytes and stop > start:
                break
            stop += 1
        return tuple(self.entries[start:stop])

    def last_index_with_term_at_most(self, index: int, term: int) -> int:
        """Return the newest index, at most `index`, whose term is at most `term`.

        Returns the base index if all entries are of later terms.
        """
        stop = max(0, min(index, self.last_index) - self.base_index)
        found = bisect.bisect_right(self.entries, term, 0, stop, key=lambda entry: entry.term)
        return self.base_index + found

    def is_newer_than(self, last_index: int, last_term: int) -> bool:
        """Return whether this log is more up to date than one that ends with the given entry."""
        return (self.last_term, self.last_index) > (last_term, last_index)
