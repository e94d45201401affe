"""The answer of the owner of some shards."""

import msgspec


class SpreadReply(msgspec.Struct, frozen=True, tag="spread-reply"):
    """The signatures of the shards that answered, and their greatest records.

    `attempts` is the number of requests that the owner sent to upstreams.
    """

    seq: int
    owner: str
    signatures: tuple[str, ...]
    records: bytes
    attempts: int = msgspec.field(name="sends")
