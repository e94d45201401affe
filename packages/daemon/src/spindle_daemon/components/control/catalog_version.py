"""The version and digest of a catalog."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class CatalogVersion:
    """A version of the catalog and the digest of its content."""

    version: int
    digest: str
