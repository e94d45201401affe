"""Fetches newer catalogs from other instances."""

import logging

from spindle_daemon.components.control_link.catalog_holder import CatalogCache
from spindle_daemon.components.control_link.chunk_buffer import ChunkBuffer
from spindle_daemon.components.control_link.const import FETCH_TIMEOUT_S
from spindle_daemon.core.clock import Clock
from spindle_daemon.mesh.transport import MeshTransport
from spindle_decisions.exceptions import FrameError, NoteError
from spindle_decisions.notes.applier import apply_note
from spindle_decisions.notes.parser import parse_note
from spindle_decisions.wire.config_chunk import ConfigChunk
from spindle_decisions.wire.config_delta import ConfigDelta
from spindle_decisions.wire.fetch_config import FetchConfig

_LOGGER = logging.getLogger(__name__)


class CatalogFetcher:
    """Requests newer catalogs and applies them.

    A delta whose result does not have the announced digest is discarded, and the
    full catalog is requested next. At most one request for a version is pending.
    """

    def __init__(
        self, clock: Clock, transport: MeshTransport, advertise: str, catalog_cache: CatalogCache
    ) -> None:
        self.clock = clock
        self.transport = transport
        self.advertise = advertise
        self.catalog_cache = catalog_cache
        self.buffer = ChunkBuffer()
        self.requested_at = -FETCH_TIMEOUT_S
        self.requested_version = 0
        self.want_full = False
        transport.register_handler(ConfigDelta, self._handle_delta)
        transport.register_handler(ConfigChunk, self._handle_chunk)

    def on_version_advertised(self, address: str, version: int, digest: str) -> None:
        """Fetch the catalog from `address` if the version that it holds is newer."""
        held_version = self.catalog_cache.catalog.version
        if version == held_version and digest != self.catalog_cache.digest:
            _LOGGER.error("config: version %s has another digest at %s", version, address)
        if version <= held_version:
            return
        is_pending = self.clock.now() - self.requested_at < FETCH_TIMEOUT_S
        if is_pending and version <= self.requested_version:
            return
        self.requested_version = version
        self.requested_at = self.clock.now()
        self.request_update(address, full=self.want_full)

    def request_update(self, address: str, full: bool = False) -> None:
        """Request the changes after the catalog in force, or the `full` catalog."""
        fetch = FetchConfig(
            self.transport.name, self.advertise, self.catalog_cache.catalog.version, full=full
        )
        self.transport.send(address, fetch)

    def _handle_delta(self, sender: str, delta: ConfigDelta) -> None:
        catalog = self.catalog_cache.catalog
        if delta.from_version != catalog.version:
            return
        try:
            for text in delta.notes:
                catalog = apply_note(catalog, parse_note(text))
        except NoteError as err:
            self._discard_delta(sender, str(err))
            return
        if catalog.digest() != delta.digest:
            self._discard_delta(sender, f"the result does not have the digest {delta.digest}")
            return
        self.catalog_cache.update(catalog, sender)

    def _handle_chunk(self, sender: str, chunk: ConfigChunk) -> None:
        try:
            catalog = self.buffer.add(chunk)
        except FrameError as err:
            _LOGGER.error("config: catalog from %s discarded: %s", sender, err)
            return
        if catalog is not None:
            self.want_full = False
            self.catalog_cache.update(catalog, sender)

    def _discard_delta(self, sender: str, reason: str) -> None:
        _LOGGER.error("config: delta from %s discarded: %s", sender, reason)
        self.want_full = True
        self.requested_at = -FETCH_TIMEOUT_S
