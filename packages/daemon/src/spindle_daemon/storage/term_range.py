"""A run of log entries of one term."""

import msgspec


class TermRange(msgspec.Struct, frozen=True):
    """The entries from `first_index` to `last_index`, both included, have this term."""

    first_index: int
    last_index: int
    term: int
