"""Tests of the data folder: damage, torn tails, locking and failed syncs."""

import pathlib
import tempfile
import unittest

from nose2.tools import params

from spindle_daemon.storage.data_folder import open_data_folder
from spindle_daemon.storage.os_file_access import create_file_access
from spindle_decisions.consensus.hard_state import HardState
from spindle_decisions.consensus.persist_batch import PersistBatch
from spindle_decisions.consensus.restored_state import RestoredState
from spindle_decisions.exceptions import (
    StorageDamagedError,
    StorageError,
    StorageLockedError,
    SyncFailedError,
)
from tests.daemon.storage.common import copy_folder, entries, fail_sync, snapshot_at

FIRST_LOG = "log-000000000001"


class DataFolderTestCase(unittest.TestCase):
    def setUp(self) -> None:
        temp_dir = tempfile.TemporaryDirectory()
        self.addCleanup(temp_dir.cleanup)
        self.root = pathlib.Path(temp_dir.name)
        self.path = self.root / "folder"

    def write(self, batches: int, max_segment_bytes: int = 1 << 20) -> list[int]:
        """Write batches of one entry; return the sizes of the first log file, before and after."""
        folder = open_data_folder(self.path, max_segment_bytes=max_segment_bytes)
        folder.restore()
        sizes = [(self.path / FIRST_LOG).stat().st_size]
        for index in range(1, batches + 1):
            folder.persist(PersistBatch(index, HardState(index, "a"), 0, entries(index, 1)))
            sizes.append((self.path / FIRST_LOG).stat().st_size)
        folder.close()
        return sizes

    def restore(self, path: pathlib.Path) -> RestoredState:
        folder = open_data_folder(path)
        try:
            return folder.restore()
        finally:
            folder.close()

    def copy(self, name: str) -> pathlib.Path:
        target = self.root / name
        copy_folder(self.path, target)
        return target


class TestDamageAtEveryByte(DataFolderTestCase):
    def test_truncation_at_any_byte_keeps_complete_batches(self) -> None:
        sizes = self.write(batches=3)
        for size_bytes in range(sizes[-1] + 1):
            copy = self.copy(f"cut-{size_bytes}")
            with (copy / FIRST_LOG).open("r+b") as file:
                file.truncate(size_bytes)
            complete = max(
                [number for number, end in enumerate(sizes) if end <= size_bytes], default=0
            )
            state = self.restore(copy)
            self.assertEqual(state.entries, entries(1, complete))
            self.assertEqual(state.hard_state.term, complete)
            self.assertEqual(self.restore(copy), state)

    def test_damage_at_any_byte_is_reported_or_cuts_last_batch(self) -> None:
        sizes = self.write(batches=3)
        starts = dict(enumerate(sizes[:-1]))
        content = (self.path / FIRST_LOG).read_bytes()
        for position in range(sizes[-1]):
            copy = self.copy(f"flip-{position}")
            damaged = bytearray(content)
            damaged[position] ^= 0x40
            (copy / FIRST_LOG).write_bytes(damaged)
            start = max([0, *(at for at in starts.values() if at <= position)])
            if start == sizes[-2]:
                self.assertEqual(self.restore(copy).entries, entries(1, 2))
                continue
            with self.assertRaisesRegex(StorageDamagedError, f"{FIRST_LOG}: .* offset {start}$"):
                self.restore(copy)


class TestDamage(DataFolderTestCase):
    @params(
        ("log-000000000002", None, "log-000000000002: missing"),
        ("log-000000000002", b"", "offset 0"),
        (FIRST_LOG, None, "log-000000000001: missing"),
        ("identity", None, "identity: missing although"),
        ("identity", b"", "identity: damaged at offset 0"),
    )
    def test_reports_missing_or_empty_file(self, name: str, data: bytes | None, text: str) -> None:
        self.write(batches=6, max_segment_bytes=150)
        if data is None:
            (self.path / name).unlink()
        else:
            (self.path / name).write_bytes(data)
        with self.assertRaisesRegex(StorageDamagedError, text):
            self.restore(self.path)

    def test_reports_earlier_log_file_truncated_between_records(self) -> None:
        sizes = self.write(batches=6, max_segment_bytes=300)
        self.assertLess(sizes[1], sizes[-1])
        with (self.path / FIRST_LOG).open("r+b") as file:
            file.truncate(sizes[1])
        with self.assertRaisesRegex(StorageDamagedError, "the previous log file has"):
            self.restore(self.path)

    def test_reports_damaged_newest_snapshot(self) -> None:
        self.write(batches=2)
        folder = open_data_folder(self.path)
        folder.restore()
        folder.save_snapshot(snapshot_at(1))
        folder.save_snapshot(snapshot_at(2))
        folder.close()
        newest = sorted(self.path.glob("snapshot-*"))[-1]
        newest.write_bytes(newest.read_bytes()[:-1])
        with self.assertRaisesRegex(StorageDamagedError, newest.name):
            self.restore(self.path)


class TestDataFolder(DataFolderTestCase):
    def test_second_open_fails_until_first_closes(self) -> None:
        folder = open_data_folder(self.path)
        with self.assertRaisesRegex(StorageLockedError, "lock"):
            open_data_folder(self.path)
        folder.close()
        self.assertEqual(self.restore(self.path).folder_id, folder.folder_id)

    def test_emptied_folder_gets_new_id(self) -> None:
        first = self.restore(self.path).folder_id
        for path in self.path.iterdir():
            path.unlink()
        self.assertNotEqual(self.restore(self.path).folder_id, first)

    def test_keeps_two_snapshots_and_removes_covered_log_files(self) -> None:
        self.write(batches=9, max_segment_bytes=150)
        folder = open_data_folder(self.path)
        folder.restore()
        for index in (3, 6, 9):
            folder.save_snapshot(snapshot_at(index))
        folder.close()
        self.assertEqual(len(list(self.path.glob("snapshot-*"))), 2)
        self.assertEqual(len(list(self.path.glob("log-*"))), 1)
        state = self.restore(self.path)
        self.assertEqual((state.snapshot, state.entries), (snapshot_at(9), ()))
        self.assertEqual(state.hard_state, HardState(9, "a"))

    def test_snapshot_may_be_ahead_of_log(self) -> None:
        self.write(batches=2)
        folder = open_data_folder(self.path)
        folder.restore()
        folder.save_snapshot(snapshot_at(5))
        folder.persist(PersistBatch(1, entries=entries(3, 4)))
        folder.close()
        self.assertEqual(self.restore(self.path).entries, entries(6, 1))

    def test_ignores_leader_snapshot_older_than_own(self) -> None:
        self.write(batches=3)
        folder = open_data_folder(self.path)
        folder.restore()
        folder.save_snapshot(snapshot_at(2))
        folder.persist(PersistBatch(1, snapshot=snapshot_at(1), entries=entries(2, 3, term=7)))
        folder.close()
        state = self.restore(self.path)
        self.assertEqual((state.snapshot, state.entries), (snapshot_at(2), entries(3, 2, term=7)))

    def test_replaced_entries_after_snapshot_are_not_restored(self) -> None:
        self.write(batches=5)
        folder = open_data_folder(self.path)
        folder.restore()
        folder.save_snapshot(snapshot_at(3, term=4))
        folder.close()
        self.assertEqual(self.restore(self.path).entries, ())

    @params(
        (PersistBatch(1, entries=entries(5, 1)),),
        (PersistBatch(1, entries=entries(2, 1)),),
        (PersistBatch(1, truncate_from=2, entries=entries(4, 1)),),
        (PersistBatch(1, snapshot=snapshot_at(9), entries=entries(12, 1)),),
    )
    def test_rejected_batch_changes_nothing(self, batch: PersistBatch) -> None:
        self.write(batches=3)
        folder = open_data_folder(self.path)
        folder.restore()
        folder.save_snapshot(snapshot_at(2))
        with self.assertRaises(StorageError):
            folder.persist(batch)
        folder.persist(PersistBatch(2, entries=entries(4, 1)))
        folder.close()
        self.assertEqual(self.restore(self.path).entries, entries(3, 2))

    def test_rejects_all_calls_after_failed_sync(self) -> None:
        files = create_file_access()
        folder = open_data_folder(self.path, files)
        folder.restore()
        files.sync_function = fail_sync
        with self.assertRaises(SyncFailedError):
            folder.persist(PersistBatch(1, HardState(1, "a")))
        files.sync_function = create_file_access().sync_function
        with self.assertRaisesRegex(SyncFailedError, "unusable after an earlier failure"):
            folder.persist(PersistBatch(2, HardState(1, "a")))
        with self.assertRaisesRegex(SyncFailedError, "unusable after an earlier failure"):
            folder.save_snapshot(snapshot_at(1))
        folder.close()
