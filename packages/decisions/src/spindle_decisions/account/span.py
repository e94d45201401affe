"""A span of wall clock time."""

import msgspec


class Span(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The time from `from_ms` (inclusive) to `to_ms` (exclusive), in Unix milliseconds."""

    from_ms: int
    to_ms: int
