"""Tests of merging the records of parts."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from spindle_decisions.routing.records import RECORD_BYTES, merge_top_records

RECORDS = st.lists(st.binary(min_size=RECORD_BYTES, max_size=RECORD_BYTES), max_size=12)


class TestMergeTopRecords(unittest.TestCase):
    def test_equal_records_are_kept(self) -> None:
        low, high = b"a" * 16, b"b" * 16
        self.assertEqual(merge_top_records([high + low, high], 3), high + high + low)

    def test_incomplete_record_is_ignored(self) -> None:
        self.assertEqual(merge_top_records([b"a" * 16 + b"z" * 15], 5), b"a" * 16)

    @settings(derandomize=True, database=None, deadline=None)
    @given(st.lists(RECORDS, max_size=5), st.integers(0, 20))
    def test_equals_sorting_all_records(self, parts: list[list[bytes]], count: int) -> None:
        expected = sorted((record for part in parts for record in part), reverse=True)[:count]
        bodies = [b"".join(part) for part in parts]
        self.assertEqual(merge_top_records(bodies, count), b"".join(expected))
