"""The response of a shard owner."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class OwnerResponse:
    """The greatest records of an owner's shards, and the signature of each shard that answered.

    A signature proves which upstream answered. With `more`, another response with the
    shards that answer later and a higher `number` follows.
    """

    signatures: tuple[str, ...]
    records: bytes
    more: bool = False
    number: int = 0
