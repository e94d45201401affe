"""The bus event of a changed platform list."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PlatformListChanged:
    """The names of the upstreams that the platform says are leaving."""

    leaving: frozenset[str]
