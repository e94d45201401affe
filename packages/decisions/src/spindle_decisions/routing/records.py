"""Merging of the records in parts."""

import heapq
from collections.abc import Iterable

RECORD_BYTES = 16


def split_records(body: bytes) -> list[bytes]:
    """Return the records of a part; an incomplete record at the end is dropped."""
    end = len(body) - len(body) % RECORD_BYTES
    return [body[start : start + RECORD_BYTES] for start in range(0, end, RECORD_BYTES)]


def merge_top_records(parts: Iterable[bytes], count: int) -> bytes:
    """Return the `count` greatest records of all parts, greatest first; keeps duplicates."""
    records = (record for body in parts for record in split_records(body))
    return b"".join(heapq.nlargest(count, records))
