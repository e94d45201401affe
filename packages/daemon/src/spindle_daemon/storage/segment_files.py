"""File operations on the log files of a data folder."""

import logging
import pathlib

import msgspec

from spindle_daemon.storage.const import PREFIX_SEGMENT, SEGMENT_DIGITS
from spindle_daemon.storage.file_access import FileAccess
from spindle_daemon.storage.journal_record import (
    JournalRecord,
    SegmentHeader,
    decode_journal_record,
    encode_journal_record,
)
from spindle_daemon.storage.record_codec import RecordScan, encode_record, scan_records
from spindle_daemon.storage.segment import Segment
from spindle_decisions.exceptions import StorageDamagedError

_LOGGER = logging.getLogger(__name__)


class SegmentFiles:
    """Reads, creates and removes log files."""

    def __init__(self, files: FileAccess, folder: pathlib.Path) -> None:
        self._files = files
        self._folder = folder

    def path_of(self, sequence: int) -> pathlib.Path:
        """Return the path of a log file."""
        return self._folder / f"{PREFIX_SEGMENT}{sequence:0{SEGMENT_DIGITS}d}"

    def sequences(self) -> list[int]:
        """Return the sequence numbers of all log files in ascending order."""
        names = [path.name for path in self._folder.iterdir()]
        numbers = [name.removeprefix(PREFIX_SEGMENT) for name in names if _is_segment(name)]
        return sorted(int(number) for number in numbers)

    def read(self, sequence: int, is_last: bool) -> tuple[list[JournalRecord], RecordScan]:
        """Read the records of a log file.

        Only the last file may end in a torn record. Any other damage raises
        `StorageDamagedError` with file and offset.
        """
        path = self.path_of(sequence)
        data = path.read_bytes()
        scan = scan_records(data, sequence)
        torn = scan.end < len(data)
        if scan.valid_after_damage is not None or (torn and not is_last):
            raise StorageDamagedError(f"{path}: damaged at offset {scan.end}")
        records = [
            _decode(path, body, offset)
            for body, offset in zip(scan.bodies, scan.offsets, strict=True)
        ]
        if torn:
            _LOGGER.warning(
                "storage: cut a torn tail of %s bytes from %s at offset %s",
                len(data) - scan.end,
                path,
                scan.end,
            )
        return records, scan

    def open_for_append(self, segment: Segment) -> int:
        """Open a log file, truncate it after its last record, and sync it; return it open."""
        fd = self._files.open(self.path_of(segment.sequence))
        self._files.truncate(fd, segment.size_bytes)
        self._files.sync(fd)
        self._files.sync_folder(self._folder)
        return fd

    def create(self, header: SegmentHeader) -> tuple[Segment, int]:
        """Create and sync a log file with its header; return it open."""
        record = encode_record(encode_journal_record(header), header.sequence, 0)
        fd = self._files.open(self.path_of(header.sequence))
        self._files.truncate(fd, 0)
        self._files.write(fd, record, 0)
        self._files.sync(fd)
        self._files.sync_folder(self._folder)
        return Segment(header.sequence, len(record)), fd

    def remove(self, sequence: int) -> None:
        """Remove a log file."""
        self._files.unlink(self.path_of(sequence))


def _is_segment(name: str) -> bool:
    return name.startswith(PREFIX_SEGMENT) and name.removeprefix(PREFIX_SEGMENT).isdecimal()


def _decode(path: pathlib.Path, body: bytes, offset: int) -> JournalRecord:
    try:
        return decode_journal_record(body)
    except msgspec.DecodeError as err:
        raise StorageDamagedError(f"{path}: unreadable at offset {offset}: {err}") from err
