"""The bus event of a new catalog."""

import dataclasses

from spindle_decisions.catalog.index import CatalogIndex


@dataclasses.dataclass(frozen=True)
class CatalogUpdated:
    """The instance took a newer catalog; it is in force here from now on."""

    index: CatalogIndex
