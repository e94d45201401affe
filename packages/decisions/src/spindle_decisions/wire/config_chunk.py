"""One chunk of the whole catalog, sent by a control instance."""

import msgspec


class ConfigChunk(msgspec.Struct, frozen=True, tag="config-chunk"):
    """Chunk `index` of `total` of the encoded catalog at `version`.

    `digest` is that of the whole catalog, `control` the sender.
    """

    control: str
    version: int
    digest: str
    index: int
    total: int
    data: bytes
