"""Tracks the position of the log after the records written so far."""

from spindle_daemon.storage.journal_record import JournalBatch
from spindle_daemon.storage.term_range import TermRange
from spindle_decisions.consensus.hard_state import HardState
from spindle_decisions.consensus.log_entry import LogEntry
from spindle_decisions.exceptions import StorageError


class LogPosition:
    """The last index, the hard state and the terms of entries after the newest record.

    `snapshot_index` is the index of the newest snapshot, 0 for none. Entries may
    skip only indexes that this snapshot covers.
    """

    def __init__(self, snapshot_index: int) -> None:
        self.snapshot_index = snapshot_index
        self.hard_state = HardState()
        self.last_index = 0
        self._term_ranges: list[TermRange] = []

    def term_at(self, index: int) -> int | None:
        """Return the term of a written entry, or `None` if the log does not contain it."""
        for term_range in reversed(self._term_ranges):
            if term_range.first_index <= index <= term_range.last_index:
                return term_range.term
        return None

    def check(self, batch: JournalBatch) -> None:
        """Raise `StorageError` if the batch does not follow the written entries."""
        last_index = self.last_index
        if batch.truncate_from:
            last_index = min(last_index, batch.truncate_from - 1)
        for entry in batch.entries:
            in_gap = last_index < entry.index <= self.snapshot_index + 1
            if entry.index != last_index + 1 and not in_gap:
                raise StorageError(f"entry {entry.index} does not follow entry {last_index}")
            last_index = entry.index

    def advance(self, batch: JournalBatch) -> None:
        """Update the position for a batch that was checked and written."""
        if batch.truncate_from:
            self._truncate(batch.truncate_from)
        for entry in batch.entries:
            self._add(entry)
        if batch.hard_state is not None:
            self.hard_state = batch.hard_state

    def set_snapshot_index(self, index: int) -> None:
        """Set the index of the newest snapshot; drops the terms of entries it covers."""
        self.snapshot_index = index
        self._term_ranges = [
            term_range for term_range in self._term_ranges if term_range.last_index > index
        ]

    def clear(self) -> None:
        """Discard all entries written so far: a snapshot replaced the log."""
        self.last_index = 0
        self._term_ranges = []

    def _truncate(self, index: int) -> None:
        self.last_index = min(self.last_index, index - 1)
        term_ranges = [
            term_range for term_range in self._term_ranges if term_range.first_index < index
        ]
        if term_ranges:
            newest = term_ranges.pop()
            last_index = min(newest.last_index, index - 1)
            term_ranges.append(TermRange(newest.first_index, last_index, newest.term))
        self._term_ranges = term_ranges

    def _add(self, entry: LogEntry) -> None:
        self.last_index = entry.index
        first_index = entry.index
        if self._term_ranges:
            newest = self._term_ranges[-1]
            if newest.term == entry.term and newest.last_index == entry.index - 1:
                first_index = newest.first_index
                self._term_ranges.pop()
        self._term_ranges.append(TermRange(first_index, entry.index, entry.term))
