"""The carrier of messages between the agreement of control instances."""

import msgspec


class RaftPacket(msgspec.Struct, frozen=True, tag="raft"):
    """An encoded message of the consensus package."""

    data: bytes
