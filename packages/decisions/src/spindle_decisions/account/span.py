"""A stretch of wall time."""

import msgspec


class Span(msgspec.Struct, frozen=True, array_like=True, order=True):
    """From `from_ms` up to and without `to_ms`, in Unix milliseconds."""

    from_ms: int
    to_ms: int
