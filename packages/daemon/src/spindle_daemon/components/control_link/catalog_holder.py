"""The catalog in force at this instance."""

import logging

from spindle_daemon.core.catalog_updated import CatalogUpdated
from spindle_daemon.core.clock import Clock
from spindle_daemon.core.event_bus import EventBus
from spindle_daemon.core.timeline_sink import TimelineSink
from spindle_decisions.catalog.catalog import EMPTY_CATALOG, Catalog
from spindle_decisions.catalog.index import CatalogIndex
from spindle_decisions.timeline.event_kind import EventKind

_LOGGER = logging.getLogger(__name__)


class CatalogCache:
    """Holds the catalog in force; only a newer version replaces it."""

    def __init__(self, clock: Clock, bus: EventBus, timeline: TimelineSink) -> None:
        self.clock = clock
        self.bus = bus
        self.timeline = timeline
        self.index = CatalogIndex(EMPTY_CATALOG)
        self.digest = EMPTY_CATALOG.digest()
        self.confirmed_at = clock.now()

    @property
    def catalog(self) -> Catalog:
        """Return the catalog in force."""
        return self.index.catalog

    def age_s(self) -> float:
        """Return the seconds since a control instance last confirmed this version."""
        return self.clock.now() - self.confirmed_at

    def record_confirmation(self) -> None:
        """Record that a control instance with a quorum holds this version."""
        self.confirmed_at = self.clock.now()

    def update(self, catalog: Catalog, source: str) -> bool:
        """Replace the catalog by a newer one; return false if it is not newer."""
        if catalog.version <= self.catalog.version:
            return False
        self.index = CatalogIndex(catalog)
        self.digest = catalog.digest()
        _LOGGER.info("config: version %s in force, from %s", catalog.version, source)
        self.timeline.add(
            EventKind.CONFIG_TAKEN, f"version {catalog.version}", note=catalog.version, peer=source
        )
        self.bus.fire(CatalogUpdated(self.index))
        return True
