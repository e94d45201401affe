"""The data folder of a control instance."""

import contextlib
import logging
import pathlib
from collections.abc import Iterator

import msgspec

from spindle_daemon.storage.const import FOLDER_MODE, MAX_SEGMENT_BYTES, SUFFIX_TEMPORARY
from spindle_daemon.storage.file_access import FileAccess
from spindle_daemon.storage.folder_lock import FolderLock, lock_folder
from spindle_daemon.storage.identity import load_identity
from spindle_daemon.storage.journal import Journal, create_journal
from spindle_daemon.storage.journal_record import JournalBatch
from spindle_daemon.storage.log_position import LogPosition
from spindle_daemon.storage.os_file_access import create_file_access
from spindle_daemon.storage.snapshot_files import SnapshotFiles, StoredSnapshot
from spindle_decisions.consensus.hard_state import HardState
from spindle_decisions.consensus.persist_batch import PersistBatch
from spindle_decisions.consensus.restored_state import RestoredState
from spindle_decisions.consensus.snapshot import Snapshot
from spindle_decisions.exceptions import StorageError, SyncFailedError

_LOGGER = logging.getLogger(__name__)

FIRST_SEGMENT = 1


class DataFolder:
    """Stores hard state, log and snapshots; all data is synced before a call returns.

    The calls block, so they belong on a thread outside the event loop, and they
    must not overlap. After a failed write or sync the state on disk is unknown:
    that call and every later one raise `SyncFailedError`.
    """

    def __init__(
        self,
        folder_id: str,
        lock: FolderLock,
        journal: Journal,
        snapshots: SnapshotFiles,
    ) -> None:
        self.folder_id = folder_id
        self._lock = lock
        self._journal = journal
        self._snapshots = snapshots
        self._restored = False
        self._busy = False
        self._failure = ""

    def restore(self) -> RestoredState:
        """Read the stored state; has to be called once, before the other calls.

        Cuts a torn tail of the log. Raises `StorageDamagedError` with file and
        offset for any other damage.
        """
        with self._exclusive_call():
            if self._restored:
                raise StorageError(f"data folder {self.folder_id} was already restored")
            stored = self._snapshots.load_newest()
            first_segment = stored.first_segment if stored else FIRST_SEGMENT
            snapshot_index = stored.snapshot.index if stored else 0
            entries = self._journal.load(first_segment, snapshot_index)
            self._restored = True
        position = self._journal.position
        _LOGGER.info(
            "storage: restored folder %s, snapshot at entry %s, %s entries, term %s",
            self.folder_id,
            snapshot_index,
            len(entries),
            position.hard_state.term,
        )
        return RestoredState(
            self.folder_id, position.hard_state, stored.snapshot if stored else None, entries
        )

    def persist(self, batch: PersistBatch) -> None:
        """Write and sync a batch as one group commit.

        Raises `StorageError` if the batch does not follow the log; nothing is
        written then.
        """
        with self._exclusive_call():
            self._check_restored()
            snapshot = batch.snapshot
            record = JournalBatch(batch.truncate_from, batch.entries, batch.hard_state)
            if snapshot is not None and snapshot.index <= self._journal.position.snapshot_index:
                record = _without_snapshot(record, snapshot)
                snapshot = None
            self._check_follows_log(record, snapshot)
            if snapshot is not None:
                self._install_snapshot(snapshot, batch.hard_state)
            if record.truncate_from or record.entries or record.hard_state is not None:
                self._journal.append(record)

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Save a snapshot of this instance's state, then remove the log files that it covers.

        The state may be ahead of the disk: entries that a majority holds are
        applied while this instance has yet to write them. If the log on disk does
        not contain the entry of the snapshot, its later entries were replaced, and
        the log continues in a new file. A snapshot that is not newer than the
        stored one is ignored.
        """
        with self._exclusive_call():
            self._check_restored()
            position = self._journal.position
            if snapshot.index <= position.snapshot_index:
                return
            if position.term_at(snapshot.index) != snapshot.term:
                self._install_snapshot(snapshot, None)
                return
            first_segment = self._journal.first_needed_segment(snapshot.index)
            self._snapshots.save(StoredSnapshot(first_segment, snapshot))
            position.set_snapshot_index(snapshot.index)
            self._journal.remove_before(first_segment)

    def close(self) -> None:
        """Close the files and release the lock."""
        self._journal.close()
        self._lock.release()

    def _check_follows_log(self, record: JournalBatch, snapshot: Snapshot | None) -> None:
        position = self._journal.position
        if snapshot is not None:
            position = LogPosition(snapshot.index)
        position.check(record)

    def _install_snapshot(self, snapshot: Snapshot, hard_state: HardState | None) -> None:
        """Replace log and state by a snapshot.

        The new log file is created first. The snapshot then makes it the only
        valid one, so a crash between the two steps leaves the old state valid.
        """
        position = self._journal.position
        first_segment = self._journal.start_segment(hard_state or position.hard_state)
        self._snapshots.save(StoredSnapshot(first_segment, snapshot))
        position.set_snapshot_index(snapshot.index)
        position.clear()
        self._journal.remove_before(first_segment)

    def _check_restored(self) -> None:
        if not self._restored:
            raise StorageError(f"data folder {self.folder_id} has to be restored first")

    @contextlib.contextmanager
    def _exclusive_call(self) -> Iterator[None]:
        if self._failure:
            raise SyncFailedError(f"unusable after an earlier failure: {self._failure}")
        if self._busy:
            raise StorageError("calls to the data folder must not overlap")
        self._busy = True
        try:
            yield
        except StorageError:
            raise
        except OSError as err:
            self._failure = str(err)
            _LOGGER.critical("storage: file operation failed: %s", err)
            raise SyncFailedError(f"file operation failed: {err}") from err
        except BaseException as err:
            self._failure = repr(err)
            raise
        finally:
            self._busy = False


def open_data_folder(
    path: pathlib.Path,
    files: FileAccess | None = None,
    max_segment_bytes: int = MAX_SEGMENT_BYTES,
) -> DataFolder:
    """Open or create a data folder and lock it.

    Raises `StorageLockedError` if another process holds the lock,
    `StorageDamagedError` if the identity is damaged, and `StorageError` if the
    folder cannot be used. Example:

        folder = open_data_folder(pathlib.Path("/var/lib/damaskspindle"))
        state = folder.restore()
    """
    access = files or create_file_access()
    try:
        path.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)
        lock = lock_folder(path)
    except OSError as err:
        raise StorageError(f"{path}: {err}") from err
    try:
        for leftover in path.glob(f"*{SUFFIX_TEMPORARY}"):
            access.unlink(leftover)
        identity = load_identity(access, path)
    except OSError as err:
        lock.release()
        raise StorageError(f"{path}: {err}") from err
    except StorageError:
        lock.release()
        raise
    journal = create_journal(access, path, max_segment_bytes)
    return DataFolder(identity.folder_id, lock, journal, SnapshotFiles(access, path))


def _without_snapshot(record: JournalBatch, snapshot: Snapshot) -> JournalBatch:
    """Return the rest of a batch whose snapshot is older than the stored one.

    The snapshot would have replaced the log, so the log is still truncated after it.
    """
    truncate_from = snapshot.index + 1
    if record.truncate_from:
        truncate_from = min(truncate_from, record.truncate_from)
    return msgspec.structs.replace(record, truncate_from=truncate_from)
