"""Tests of the store of minute summaries."""

import pathlib
import tempfile
import time
import unittest

import gevent
from nose2.tools import params

from spindle_daemon.storage.blob import Blob
from spindle_daemon.storage.blob_key import BlobKey
from spindle_daemon.storage.blob_limits import BlobLimits
from spindle_daemon.storage.blob_store import open_blob_store
from spindle_daemon.storage.os_file_access import create_file_access
from spindle_daemon.storage.summary_files import SummaryFiles, create_summary_files
from spindle_decisions.exceptions import StorageError, SyncFailedError
from tests.daemon.storage.common import fail_sync

DAY = 20_000
MINUTE = DAY * 1440


def _key(day: int = DAY, minute: int = 0, instance: str = "e1") -> BlobKey:
    return BlobKey(instance, 1, day * 1440 + minute)


class TestSummaryFiles(unittest.TestCase):
    def test_keeps_summaries_until_day_is_removed(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            files = create_summary_files(pathlib.Path(folder))
            for minute in (MINUTE - 1, MINUTE, MINUTE + 1):
                files.put("e1", 1, minute, b"%d" % (minute - MINUTE))
            files = create_summary_files(pathlib.Path(folder))
            self.assertEqual(files.load(MINUTE - 1, MINUTE), (b"-1", b"0"))
            self.assertEqual(files.days(), ("2024-10-03", "2024-10-04"))
            files.remove_day("2024-10-03")
            self.assertEqual(files.load(MINUTE - 1, MINUTE), (b"0",))

    def test_slow_sync_does_not_block_event_loop(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            slow = create_file_access(lambda _fd: time.sleep(0.5))
            files = SummaryFiles(open_blob_store(pathlib.Path(folder), slow))
            writer = gevent.spawn(files.put, "e1", 1, MINUTE, b"x")
            loop_turns = 0
            while not writer.ready():
                gevent.sleep(0.01)
                loop_turns += 1
            self.assertGreater(loop_turns, 5)
            self.assertEqual(files.load(MINUTE, MINUTE), (b"x",))


class TestBlobStore(unittest.TestCase):
    def setUp(self) -> None:
        temp_dir = tempfile.TemporaryDirectory()
        self.addCleanup(temp_dir.cleanup)
        self.path = pathlib.Path(temp_dir.name) / "minutes"

    def test_reopened_store_has_one_summary_per_key(self) -> None:
        store = open_blob_store(self.path)
        store.put_all([Blob(_key(minute=2), b"two"), Blob(_key(DAY + 1), b"other day")])
        store.put(_key(minute=1), b"early")
        store.put(_key(minute=1), b"one")
        for reader in (store, open_blob_store(self.path)):
            day = reader.scan(DAY)
            self.assertEqual([blob.data for blob in day.blobs], [b"one", b"two"])
            self.assertEqual(reader.days(), (DAY, DAY + 1))
            self.assertFalse(day.damaged)

    def test_truncation_at_any_byte_keeps_complete_summaries(self) -> None:
        store = open_blob_store(self.path)
        sizes = [0]
        for minute in range(3):
            store.put(_key(minute=minute), b"x" * minute)
            sizes.append(next(self.path.iterdir()).stat().st_size)
        file = next(self.path.iterdir())
        content = file.read_bytes()
        for size_bytes in range(sizes[-1] + 1):
            file.write_bytes(content[:size_bytes])
            complete = sum(end <= size_bytes for end in sizes[1:])
            store = open_blob_store(self.path)
            self.assertEqual(len(store.scan(DAY).blobs), complete)
            store.put(_key(minute=9), b"next")
            day = open_blob_store(self.path).scan(DAY)
            self.assertEqual((len(day.blobs), day.damaged), (complete + 1, False))

    def test_reports_damage_in_the_middle(self) -> None:
        store = open_blob_store(self.path)
        for minute in range(3):
            store.put(_key(minute=minute), b"data")
        file = next(self.path.iterdir())
        content = bytearray(file.read_bytes())
        content[len(content) // 2] ^= 1
        file.write_bytes(content)
        day = open_blob_store(self.path).scan(DAY)
        self.assertEqual((len(day.blobs), day.damaged), (2, True))

    def test_removes_oldest_days(self) -> None:
        store = open_blob_store(self.path, limits=BlobLimits(max_days=2))
        for day in range(DAY, DAY + 4):
            store.put(_key(day), b"x")
        self.assertEqual(store.days(), (DAY + 2, DAY + 3))
        with self.assertRaisesRegex(StorageError, "no longer kept"):
            store.put(_key(DAY), b"x")

    @params((_key(DAY), 300), (_key(DAY + 1), 300), (_key(DAY + 1), 65))
    def test_rejects_summaries_over_size_limits(self, key: BlobKey, size_bytes: int) -> None:
        limits = BlobLimits(max_days=9, max_bytes=200, max_blob_bytes=64)
        store = open_blob_store(self.path, limits=limits)
        store.put(_key(DAY + 1), b"x" * 60)
        with self.assertRaisesRegex(StorageError, "exceeds the limit of 64 bytes"):
            store.put(key, b"x" * size_bytes)
        with self.assertRaisesRegex(StorageError, "in addition to"):
            store.put_all([Blob(_key(DAY, minute), b"x" * 40) for minute in range(2)])
        store.put(_key(DAY + 2), b"x" * 60)
        self.assertEqual(store.days(), (DAY + 2,))

    def test_rejects_day_in_the_future(self) -> None:
        store = open_blob_store(self.path, wall_clock=lambda: DAY * 86_400.0)
        store.put(_key(DAY), b"x")
        store.put(_key(DAY + 1), b"x")
        with self.assertRaisesRegex(StorageError, "in the future"):
            store.put(_key(DAY + 2), b"x")
        self.assertEqual(store.days(), (DAY, DAY + 1))

    def test_rejects_all_calls_after_failed_sync(self) -> None:
        files = create_file_access(fail_sync)
        store = open_blob_store(self.path, files)
        with self.assertRaises(SyncFailedError):
            store.put(_key(), b"x")
        with self.assertRaisesRegex(SyncFailedError, "unusable after an earlier failure"):
            store.put(_key(), b"x")
