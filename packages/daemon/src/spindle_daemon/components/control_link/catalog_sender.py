"""Answers requests for the catalog, on control and entry instances."""

from collections.abc import Callable

import msgspec

from spindle_daemon.mesh.transport import MeshTransport
from spindle_decisions.catalog.catalog import Catalog
from spindle_decisions.wire.config_chunk import ConfigChunk
from spindle_decisions.wire.config_delta import ConfigDelta
from spindle_decisions.wire.fetch_config import FetchConfig

CHUNK_BYTES = 256 * 1024

NotesBetween = Callable[[int, int], tuple[str, ...] | None]


def no_note_texts(_from_version: int, _to_version: int) -> tuple[str, ...] | None:
    """Return `None`: an instance without stored notes always sends the full catalog."""
    return None


class CatalogSender:
    """Sends the notes since a version if they are stored, else the full catalog in chunks.

    `digest` returns the digest of the catalog that `catalog` returns. It has to be
    computed once per version, since after a note all entries request the catalog
    at the same time.
    """

    def __init__(
        self,
        transport: MeshTransport,
        catalog: Callable[[], Catalog],
        digest: Callable[[], str],
        notes_between: NotesBetween,
    ) -> None:
        self.transport = transport
        self.catalog = catalog
        self.digest = digest
        self.notes_between = notes_between

    def handle_fetch(self, _sender: str, fetch: FetchConfig) -> None:
        """Answer a request; none if the requester is up to date and does not want `full`."""
        catalog = self.catalog()
        if catalog.version <= fetch.have_version and not fetch.full:
            return
        notes = None
        if not fetch.full and fetch.have_version:
            notes = self.notes_between(fetch.have_version, catalog.version)
        if notes is None:
            self._send_full(fetch.mesh_address, catalog)
            return
        delta = ConfigDelta(
            self.transport.name, fetch.have_version, catalog.version, notes, self.digest()
        )
        self.transport.send(fetch.mesh_address, delta)

    def _send_full(self, address: str, catalog: Catalog) -> None:
        data = msgspec.msgpack.encode(catalog)
        digest = self.digest()
        starts = range(0, len(data), CHUNK_BYTES)
        for index, start in enumerate(starts):
            block = data[start : start + CHUNK_BYTES]
            chunk = ConfigChunk(
                self.transport.name, catalog.version, digest, index, len(starts), block
            )
            self.transport.send(address, chunk)
