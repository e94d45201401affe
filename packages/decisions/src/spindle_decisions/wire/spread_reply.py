"""The answer of the owner of some shards."""

import msgspec


class SpreadReply(msgspec.Struct, frozen=True, tag="spread-reply"):
    """Signatures of the shards that answered, and their greatest records."""

    seq: int
    owner: str
    signatures: tuple[str, ...]
    records: bytes
    attempts: int = msgspec.field(name="sends")
