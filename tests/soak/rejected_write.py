"""The last write of a process that a full disk rejected."""

import msgspec


class RejectedWrite(msgspec.Struct, frozen=True):
    """The process whose write was rejected, and the number of the fault that filled its disk."""

    pid: int
    fault: int
