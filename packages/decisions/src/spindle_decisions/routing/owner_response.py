"""The response of a shard owner."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class OwnerResponse:
    """Greatest records of an owner's shards, and signatures of the shards that answered."""

    signatures: tuple[str, ...]
    records: bytes
