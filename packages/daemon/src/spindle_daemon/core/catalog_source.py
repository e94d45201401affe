"""Interface to the catalog in force."""

from typing import Protocol

from spindle_decisions.catalog.index import CatalogIndex


class CatalogSource(Protocol):
    """The catalog in force at this instance."""

    index: CatalogIndex

    def age_s(self) -> float:
        """Return the seconds since a control instance last confirmed this version."""
