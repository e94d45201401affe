"""Mode of replication to one member."""

import enum


class ProgressMode(enum.IntEnum):
    """Search for the last common entry, stream entries, or wait for a snapshot to arrive."""

    PROBE = 0
    STREAM = 1
    SNAPSHOT = 2
