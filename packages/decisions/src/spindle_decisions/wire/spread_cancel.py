"""Word to the owner of some shards that no more of its answers are needed."""

import msgspec


class SpreadCancel(msgspec.Struct, frozen=True, tag="spread-cancel"):
    """Number and reply address of the sub-request that has ended."""

    seq: int
    reply_to: str
