"""The snapshot files of a data folder."""

import logging
import pathlib

import msgspec

from spindle_daemon.storage.const import INDEX_DIGITS, KEPT_SNAPSHOTS, PREFIX_SNAPSHOT
from spindle_daemon.storage.durable_file import write_durable_file
from spindle_daemon.storage.file_access import FileAccess
from spindle_daemon.storage.record_codec import encode_record, scan_records
from spindle_decisions.consensus.snapshot import Snapshot
from spindle_decisions.exceptions import StorageDamagedError

_LOGGER = logging.getLogger(__name__)

_FILE_NUMBER = 0


class StoredSnapshot(msgspec.Struct, frozen=True):
    """A snapshot and the number of the first log file that is needed with it.

    Older log files are ignored, even if a crash prevented their removal. A snapshot
    that replaces the log refers to a log file without entries of the old log.
    """

    first_segment: int
    snapshot: Snapshot


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(StoredSnapshot)


class SnapshotFiles:
    """Reads and writes snapshots; keeps `KEPT_SNAPSHOTS` files and reads only the newest."""

    def __init__(self, files: FileAccess, folder: pathlib.Path) -> None:
        self._files = files
        self._folder = folder

    def load_newest(self) -> StoredSnapshot | None:
        """Return the newest snapshot, or `None`; raise `StorageDamagedError` if damaged.

        An older snapshot cannot replace a damaged one, since the log files between
        the two were removed.
        """
        paths = self._paths()
        if not paths:
            return None
        path = paths[-1]
        scan = scan_records(path.read_bytes(), _FILE_NUMBER)
        if not scan.bodies:
            raise StorageDamagedError(f"{path}: damaged at offset 0")
        try:
            return _DECODER.decode(scan.bodies[0])
        except msgspec.DecodeError as err:
            raise StorageDamagedError(f"{path}: unreadable at offset 0: {err}") from err

    def save(self, stored: StoredSnapshot) -> None:
        """Write and sync a snapshot, then remove the oldest ones."""
        path = self._folder / f"{PREFIX_SNAPSHOT}{stored.snapshot.index:0{INDEX_DIGITS}d}"
        body = _ENCODER.encode(stored)
        write_durable_file(self._files, path, encode_record(body, _FILE_NUMBER, 0))
        _LOGGER.info("storage: saved snapshot at entry %s", stored.snapshot.index)
        for old in self._paths()[:-KEPT_SNAPSHOTS]:
            self._files.unlink(old)

    def _paths(self) -> list[pathlib.Path]:
        return sorted(
            path
            for path in self._folder.iterdir()
            if path.name.startswith(PREFIX_SNAPSHOT) and path.suffix == ""
        )
