"""Tests of opening a data folder whose disk rejects writes."""

import pathlib
import tempfile
import unittest
from unittest import mock

from spindle_daemon.storage import patient_open
from spindle_decisions.exceptions import StorageDamagedError


class TestOpenWhenWritable(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "data"
        self.sleeps: list[float] = []

    def test_waits_until_probe_succeeds(self) -> None:
        probes = [OSError(28, "No space left on device")] * 3 + [None]
        with (
            mock.patch.object(patient_open, "probe_writable", side_effect=probes),
            self.assertLogs("spindle_daemon.storage.patient_open") as caught,
        ):
            folder = patient_open.open_when_writable(self.path, self.sleeps.append)
        folder.close()
        self.assertEqual(len(self.sleeps), 3)
        events = [vars(item)["event"] for item in caught.records]
        self.assertEqual(events, ["disk-lost", "disk-regained"])

    def test_opens_writable_disk_without_waiting(self) -> None:
        patient_open.open_when_writable(self.path, self.sleeps.append).close()
        self.assertEqual(self.sleeps, [])
        self.assertFalse((self.path / patient_open.PROBE_FILE).exists())

    def test_raises_at_once_for_damaged_folder(self) -> None:
        patient_open.open_when_writable(self.path, self.sleeps.append).close()
        for file in self.path.iterdir():
            file.write_bytes(b"damage")
        with self.assertRaises(StorageDamagedError):
            patient_open.open_when_writable(self.path, self.sleeps.append)
