"""The log of a data folder: an append-only sequence of log files."""

import pathlib

from spindle_daemon.storage.const import MAX_SEGMENT_BYTES
from spindle_daemon.storage.file_access import FileAccess
from spindle_daemon.storage.journal_record import (
    JournalBatch,
    JournalRecord,
    SegmentHeader,
    encode_journal_record,
)
from spindle_daemon.storage.log_position import LogPosition
from spindle_daemon.storage.record_codec import encode_record
from spindle_daemon.storage.segment import Segment
from spindle_daemon.storage.segment_files import SegmentFiles
from spindle_decisions.consensus.hard_state import HardState
from spindle_decisions.consensus.log_entry import LogEntry
from spindle_decisions.exceptions import StorageDamagedError, StorageError


class Journal:
    """Appends each batch as one record with one sync.

    Truncations of the log and the hard state are stored in the records too, so
    written data is never changed in place.
    """

    def __init__(self, files: FileAccess, folder: pathlib.Path, max_segment_bytes: int) -> None:
        self.segments: list[Segment] = []
        self.position = LogPosition(0)
        self._files = files
        self._segment_files = SegmentFiles(files, folder)
        self._max_segment_bytes = max_segment_bytes
        self._fd: int | None = None

    def load(self, first_segment: int, snapshot_index: int) -> tuple[LogEntry, ...]:
        """Read the files from `first_segment` on; return the entries after `snapshot_index`.

        Cuts a torn tail, and removes the files before `first_segment`. Raises
        `StorageDamagedError` if a file is damaged or missing.
        """
        self.position = LogPosition(snapshot_index)
        self.segments = []
        entries: list[LogEntry] = []
        sequences = [item for item in self._segment_files.sequences() if item >= first_segment]
        self._check_chain(sequences, first_segment)
        for sequence in sequences:
            self._load_segment(sequence, sequence == sequences[-1], entries)
        self._open_last()
        self.remove_before(first_segment)
        return tuple(entry for entry in entries if entry.index > snapshot_index)

    def append(self, batch: JournalBatch) -> None:
        """Append and sync a batch, which must follow the log."""
        if self.segments[-1].size_bytes >= self._max_segment_bytes:
            self.start_segment(self.position.hard_state)
        segment = self.segments[-1]
        body = encode_journal_record(batch)
        record = encode_record(body, segment.sequence, segment.size_bytes)
        self._files.write(self._open_fd(), record, segment.size_bytes)
        self._files.sync(self._open_fd())
        segment.size_bytes += len(record)
        self._advance(segment, batch)

    def start_segment(self, hard_state: HardState) -> int:
        """Start a new log file and return its number."""
        self.close()
        previous = self.segments[-1] if self.segments else Segment(0)
        header = SegmentHeader(previous.sequence + 1, previous.size_bytes, hard_state)
        segment, self._fd = self._segment_files.create(header)
        self.segments.append(segment)
        self.position.hard_state = hard_state
        return segment.sequence

    def first_needed_segment(self, snapshot_index: int) -> int:
        """Return the first log file that is needed with a snapshot at that index.

        Starts a new file if the snapshot covers all entries of the last one.
        """
        for segment in self.segments:
            if segment.max_index > snapshot_index:
                return segment.sequence
        if self.segments[-1].max_index == 0:
            return self.segments[-1].sequence
        return self.start_segment(self.position.hard_state)

    def remove_before(self, first_segment: int) -> None:
        """Remove the log files before the given one, oldest first."""
        for sequence in self._segment_files.sequences():
            if sequence < first_segment:
                self._segment_files.remove(sequence)
        self.segments = [item for item in self.segments if item.sequence >= first_segment]

    def close(self) -> None:
        """Close the open log file, if there is one."""
        if self._fd is not None:
            self._files.close(self._fd)
            self._fd = None

    def _check_chain(self, sequences: list[int], first_segment: int) -> None:
        for expected, sequence in enumerate(sequences, start=first_segment):
            if sequence != expected:
                raise StorageDamagedError(f"{self._segment_files.path_of(expected)}: missing")
        if not sequences and first_segment > 1:
            raise StorageDamagedError(f"{self._segment_files.path_of(first_segment)}: missing")

    def _load_segment(self, sequence: int, is_last: bool, entries: list[LogEntry]) -> None:
        path = self._segment_files.path_of(sequence)
        records, scan = self._segment_files.read(sequence, is_last)
        segment = Segment(sequence, scan.end)
        for record, offset in zip(records, scan.offsets, strict=True):
            try:
                self._load_record(segment, record, offset, entries)
            except StorageError as err:
                raise StorageDamagedError(
                    f"{path}: invalid record at offset {offset}: {err}"
                ) from err
        self.segments.append(segment)

    def _load_record(
        self, segment: Segment, record: JournalRecord, offset: int, entries: list[LogEntry]
    ) -> None:
        if isinstance(record, SegmentHeader):
            self._check_header(record, segment, offset)
            self.position.hard_state = record.hard_state
            return
        if offset == 0:
            raise StorageError("the file does not begin with its header")
        self.position.check(record)
        if record.truncate_from:
            while entries and entries[-1].index >= record.truncate_from:
                entries.pop()
        entries.extend(record.entries)
        self._advance(segment, record)

    def _check_header(self, header: SegmentHeader, segment: Segment, offset: int) -> None:
        if offset != 0 or header.sequence != segment.sequence:
            raise StorageError(
                f"header of log file {header.sequence} at offset {offset} "
                f"of log file {segment.sequence}"
            )
        if self.segments and self.segments[-1].size_bytes != header.previous_size_bytes:
            raise StorageError(
                f"the previous log file has {self.segments[-1].size_bytes} bytes, "
                f"the header says {header.previous_size_bytes}"
            )

    def _open_last(self) -> None:
        if not self.segments:
            self.start_segment(HardState())
            return
        last = self.segments[-1]
        if last.size_bytes > 0:
            self._fd = self._segment_files.open_for_append(last)
            return
        self.segments.pop()
        if not self.segments and last.sequence > 1:
            raise StorageDamagedError(
                f"{self._segment_files.path_of(last.sequence)}: damaged at offset 0"
            )
        self.start_segment(self.position.hard_state)

    def _advance(self, segment: Segment, batch: JournalBatch) -> None:
        if batch.entries:
            segment.max_index = max(segment.max_index, batch.entries[-1].index)
        self.position.advance(batch)

    def _open_fd(self) -> int:
        if self._fd is None:
            raise StorageError("the log is not open")
        return self._fd


def create_journal(
    files: FileAccess, folder: pathlib.Path, max_segment_bytes: int = MAX_SEGMENT_BYTES
) -> Journal:
    """Create a journal; `load` has to be called before other methods."""
    return Journal(files, folder, max_segment_bytes)
