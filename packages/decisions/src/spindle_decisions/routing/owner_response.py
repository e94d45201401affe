"""What an owner brought."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class OwnerResponse:
    """The greatest records of some shards and the signatures of those that answered."""

    signatures: tuple[str, ...]
    records: bytes
