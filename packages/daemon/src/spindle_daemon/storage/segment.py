"""One log file."""

import msgspec


class Segment(msgspec.Struct):
    """A log file: sequence number, size, and highest entry index (0 for none)."""

    sequence: int
    size_bytes: int = 0
    max_index: int = 0
