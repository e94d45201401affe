"""The kinds of log entries."""

import enum


class EntryKind(enum.IntEnum):
    """Content of a log entry: an encoded command, a membership set, or nothing."""

    COMMAND = 0
    MEMBERSHIP = 1
    NOOP = 2
