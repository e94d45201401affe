"""One chunk of a whole catalog."""

import msgspec


class ConfigChunk(msgspec.Struct, frozen=True, tag="config-chunk"):
    """Chunk `index` of `total` of the encoded catalog at `version`."""

    control: str
    version: int
    digest: str
    index: int
    total: int
    data: bytes
