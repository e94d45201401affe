"""Assembles a catalog that arrives in chunks."""

import msgspec

from spindle_daemon.components.control_link.const import MAX_CATALOG_BYTES
from spindle_decisions.catalog.catalog import Catalog
from spindle_decisions.exceptions import FrameError
from spindle_decisions.wire.config_chunk import ConfigChunk


class ChunkBuffer:
    """Collects the chunks of one version; a newer version discards them."""

    def __init__(self) -> None:
        self.version = 0
        self.digest = ""
        self.blocks: dict[int, bytes] = {}

    def add(self, chunk: ConfigChunk) -> Catalog | None:
        """Add a chunk; return the catalog once it is complete.

        Raises `FrameError` if the catalog cannot be decoded, does not have the
        announced digest, or is larger than `MAX_CATALOG_BYTES`.
        """
        if chunk.version < self.version:
            return None
        if chunk.version > self.version or chunk.digest != self.digest:
            self.version = chunk.version
            self.digest = chunk.digest
            self.blocks = {}
        self.blocks[chunk.index] = chunk.data
        if sum(map(len, self.blocks.values())) > MAX_CATALOG_BYTES:
            self.blocks = {}
            raise FrameError(f"catalog is larger than {MAX_CATALOG_BYTES} bytes")
        if len(self.blocks) < chunk.total:
            return None
        return self._assemble()

    def _assemble(self) -> Catalog:
        data = b"".join(self.blocks[index] for index in sorted(self.blocks))
        self.blocks = {}
        try:
            catalog = msgspec.msgpack.decode(data, type=Catalog)
        except msgspec.MsgspecError as err:
            raise FrameError(f"catalog is malformed: {err}") from err
        if catalog.digest() != self.digest:
            raise FrameError(f"catalog does not have the announced digest {self.digest}")
        return catalog
