"""Bus event: a newer catalog is in force."""

import dataclasses

from spindle_decisions.catalog.index import CatalogIndex


@dataclasses.dataclass(frozen=True)
class CatalogUpdated:
    """Fired when a newer catalog comes into force at this instance."""

    index: CatalogIndex
