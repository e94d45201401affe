"""Where the log stands after the records written so far."""

from spindle_daemon.storage.journal_record import JournalBatch
from spindle_decisions.consensus.hard_state import HardState
from spindle_decisions.exceptions import StorageError


class LogPosition:
    """The last index and the hard state after the newest record.

    `covered_index` is the index of the newest snapshot, 0 for none. Entries may
    skip indexes only where that snapshot covers what is skipped.
    """

    def __init__(self, covered_index: int) -> None:
        self.covered_index = covered_index
        self.hard_state = HardState()
        self.last_index = 0

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
            self.last_index = min(self.last_index, batch.truncate_from - 1)
        if batch.entries:
            self.last_index = batch.entries[-1].index
        if batch.hard_state is not None:
            self.hard_state = batch.hard_state
