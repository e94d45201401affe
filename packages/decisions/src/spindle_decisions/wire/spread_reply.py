"""The answer of the owner of some shards."""

import msgspec


class SpreadReply(msgspec.Struct, frozen=True, tag="spread-reply"):
    """The signatures of the shards that answered, and their greatest records.

    With `more`, another reply with the shards that answer later follows; each reply has
    only what the earlier ones had not, and its `number` is one higher. `attempts` is the
    number of requests that the owner sent to upstreams since the reply before.
    """

    seq: int
    owner: str
    signatures: tuple[str, ...]
    records: bytes
    attempts: int = msgspec.field(name="sends")
    more: bool = False
    number: int = 0
