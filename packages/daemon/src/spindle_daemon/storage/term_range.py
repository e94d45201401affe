"""A range of log entries with the same term."""

import msgspec


class TermRange(msgspec.Struct, frozen=True):
    """The term of the entries from `first_index` to `last_index`, both included."""

    first_index: int
    last_index: int
    term: int
