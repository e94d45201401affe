"""The version of a catalog and its digest."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class CatalogVersion:
    """A catalog version and the digest of the content of that version."""

    version: int
    digest: str
