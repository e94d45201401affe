"""Tests of the record codec."""

import time
import unittest

from spindle_daemon.storage.record_codec import MAGIC, encode_record, recover_records, scan_records

FILE_NUMBER = 7


class TestRecords(unittest.TestCase):
    def test_record_copied_to_other_offset_or_file_is_invalid(self) -> None:
        record = encode_record(b"body", FILE_NUMBER, 0)
        self.assertEqual(recover_records(record + record, FILE_NUMBER).bodies, (b"body",))
        self.assertEqual(recover_records(record, FILE_NUMBER + 1).bodies, ())

    def test_search_among_false_magic_bytes_is_linear(self) -> None:
        """Callers control bytes in records, so they could insert many copies of the magic bytes."""
        false_magic = (MAGIC + (1_000_000).to_bytes(4, "little") + bytes(12)) * 100_000
        data = b"?" + false_magic
        data += encode_record(b"sound", FILE_NUMBER, len(data))
        started = time.monotonic()
        self.assertEqual(
            scan_records(data, FILE_NUMBER).valid_after_damage, len(data) - len(b"sound") - 20
        )
        self.assertEqual(recover_records(data, FILE_NUMBER).skipped_bytes, 1 + len(false_magic))
        self.assertLess(time.monotonic() - started, 5.0)
