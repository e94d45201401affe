"""Where the log stands after the records written so far."""

from spindle_daemon.storage.journal_record import JournalBatch
from spindle_daemon.storage.term_run import TermRun
from spindle_decisions.consensus.hard_state import HardState
from spindle_decisions.consensus.log_entry import LogEntry
from spindle_decisions.exceptions import StorageError


class LogPosition:
    """The last index, the hard state and the terms after the newest record.

    `covered_index` is the index of the newest snapshot, 0 for none. Entries may
    skip indexes only where that snapshot covers what is skipped.
    """

    def __init__(self, covered_index: int) -> None:
        self.covered_index = covered_index
        self.hard_state = HardState()
        self.last_index = 0
        self._runs: list[TermRun] = []

    def term_at(self, index: int) -> int | None:
        """Return the term of a written entry, or `None` if the log does not hold it."""
        for run in reversed(self._runs):
            if run.first_index <= index <= run.last_index:
                return run.term
        return None

    def check(self, batch: JournalBatch) -> None:
        """Raise `StorageError` if the batch does not follow what was written."""
        last_index = self.last_index
        if batch.truncate_from:
            last_index = min(last_index, batch.truncate_from - 1)
        for entry in batch.entries:
            in_gap = last_index < entry.index <= self.covered_index + 1
            if entry.index != last_index + 1 and not in_gap:
                raise StorageError(f"entry {entry.index} does not follow entry {last_index}")
            last_index = entry.index

    def advance(self, batch: JournalBatch) -> None:
        """Move behind a checked batch."""
        if batch.truncate_from:
            self._truncate(batch.truncate_from)
        for entry in batch.entries:
            self._add(entry)
        if batch.hard_state is not None:
            self.hard_state = batch.hard_state

    def cover(self, index: int) -> None:
        """Note that a snapshot at `index` is in place."""
        self.covered_index = index
        self._runs = [run for run in self._runs if run.last_index > index]

    def clear(self) -> None:
        """Note that no entry written so far is in force any more."""
        self.last_index = 0
        self._runs = []

    def _truncate(self, index: int) -> None:
        self.last_index = min(self.last_index, index - 1)
        runs = [run for run in self._runs if run.first_index < index]
        if runs:
            newest = runs.pop()
            last_index = min(newest.last_index, index - 1)
            runs.append(TermRun(newest.first_index, last_index, newest.term))
        self._runs = runs

    def _add(self, entry: LogEntry) -> None:
        self.last_index = entry.index
        first_index = entry.index
        if self._runs:
            newest = self._runs[-1]
            if newest.term == entry.term and newest.last_index == entry.index - 1:
                first_index = newest.first_index
                self._runs.pop()
        self._runs.append(TermRun(first_index, entry.index, entry.term))
