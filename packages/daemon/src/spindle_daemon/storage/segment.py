"""One log file."""

import msgspec


class Segment(msgspec.Struct):
    """A log file: its number in the order of files, its size, and its highest entry."""

    sequence: int
    size_bytes: int = 0
    max_index: int = 0
