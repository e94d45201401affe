"""The request to append a command to the replicated log."""

import msgspec


class Propose(msgspec.Struct, frozen=True, tag="propose"):
    """Ask a control instance to commit a command.

    `seq` is unique per sender; `command` is encoded by `encode_command`. A control
    instance that is not the leader forwards the request to the leader and increments
    `hops`.
    """

    sender: str
    reply_to: str
    seq: str
    command: bytes
    hops: int = 0
