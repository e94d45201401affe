"""Tests of framing records."""

import time
import unittest

from spindle_daemon.storage.record_codec import MARK, encode_record, find_records, scan_records

FILE_NUMBER = 7


class TestRecords(unittest.TestCase):
    def test_copy_of_a_record_in_another_place_or_file_is_none(self) -> None:
        record = encode_record(b"body", FILE_NUMBER, 0)
        self.assertEqual(find_records(record + record, FILE_NUMBER).bodies, (b"body",))
        self.assertEqual(find_records(record, FILE_NUMBER + 1).bodies, ())

    def test_search_among_many_false_marks_is_linear(self) -> None:
        """Callers choose bytes that end up in records, marks among them."""
        false_marks = (MARK + (1_000_000).to_bytes(4, "little") + bytes(12)) * 100_000
        data = b"?" + false_marks
        data += encode_record(b"sound", FILE_NUMBER, len(data))
        started = time.monotonic()
        self.assertEqual(
            scan_records(data, FILE_NUMBER).sound_after, len(data) - len(b"sound") - 20
        )
        self.assertEqual(find_records(data, FILE_NUMBER).skipped_bytes, 1 + len(false_marks))
        self.assertLess(time.monotonic() - started, 5.0)
