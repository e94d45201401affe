"""Fetching of newer catalogs."""

import logging

from spindle_daemon.components.control_link.catalog_holder import CatalogHolder
from spindle_daemon.components.control_link.chunk_buffer import ChunkBuffer
from spindle_daemon.components.control_link.const import FETCH_TIMEOUT_S
from spindle_daemon.core.clock import Clock
from spindle_daemon.mesh.transport import Transport
from spindle_decisions.exceptions import FrameError, NoteError
from spindle_decisions.notes.applier import apply_note
from spindle_decisions.notes.parser import parse_note
from spindle_decisions.wire.config_chunk import ConfigChunk
from spindle_decisions.wire.config_delta import ConfigDelta
from spindle_decisions.wire.fetch_config import FetchConfig

_LOGGER = logging.getLogger(__name__)


class CatalogFetcher:
    """Asks for what is newer and puts it in force.

    A delta that does not lead to the announced digest is discarded and the
    whole catalog is asked for. One request is open at a time.
    """

    def __init__(
        self, clock: Clock, transport: Transport, advertise: str, holder: CatalogHolder
    ) -> None:
        self.clock = clock
        self.transport = transport
        self.advertise = advertise
        self.holder = holder
        self.buffer = ChunkBuffer()
        self.asked_at = -FETCH_TIMEOUT_S
        self.asked_version = 0
        self.want_full = False
        transport.handle(ConfigDelta, self._handle_delta)
        transport.handle(ConfigChunk, self._handle_chunk)

    def learn(self, address: str, version: int, digest: str) -> None:
        """Take in that `address` holds a version; fetch it when it is newer."""
        held = self.holder.catalog.version
        if version == held and digest != self.holder.digest:
            _LOGGER.error("config: version %s has two digests", version)
        if version <= held:
            return
        waiting = self.clock.now() - self.asked_at < FETCH_TIMEOUT_S
        if waiting and version <= self.asked_version:
            return
        self.asked_version = version
        self.asked_at = self.clock.now()
        self.ask(address, full=self.want_full)

    def ask(self, address: str, full: bool = False) -> None:
        """Ask an instance for what is newer than the catalog in force, if it has any."""
        fetch = FetchConfig(
            self.transport.name, self.advertise, self.holder.catalog.version, full=full
        )
        self.transport.send(address, fetch)

    def _handle_delta(self, sender: str, delta: ConfigDelta) -> None:
        catalog = self.holder.catalog
        if delta.from_version != catalog.version:
            return
        try:
            for text in delta.notes:
                catalog = apply_note(catalog, parse_note(text))
        except NoteError as err:
            self._distrust(sender, str(err))
            return
        if catalog.digest() != delta.digest:
            self._distrust(sender, "it gives another digest")
            return
        self.holder.take(catalog, sender)

    def _handle_chunk(self, sender: str, chunk: ConfigChunk) -> None:
        try:
            catalog = self.buffer.add(chunk)
        except FrameError as err:
            _LOGGER.error("config: catalog from %s dropped: %s", sender, err)
            return
        if catalog is not None:
            self.want_full = False
            self.holder.take(catalog, sender)

    def _distrust(self, sender: str, why: str) -> None:
        _LOGGER.error("config: delta from %s discarded: %s", sender, why)
        self.want_full = True
        self.asked_at = -FETCH_TIMEOUT_S
