"""The envelope of consensus messages between control instances."""

import msgspec


class RaftPacket(msgspec.Struct, frozen=True, tag="raft"):
    """An encoded message of the consensus package."""

    data: bytes
