"""The request to put a command into the replicated log."""

import msgspec


class Propose(msgspec.Struct, frozen=True, tag="propose"):
    """Ask a control instance to have a command agreed.

    `seq` is unique per sender; `command` is encoded by `encode_command`. A
    control instance that does not lead forwards it to the leader with
    `hops` one higher.
    """

    sender: str
    reply_to: str
    seq: str
    command: bytes
    hops: int = 0
