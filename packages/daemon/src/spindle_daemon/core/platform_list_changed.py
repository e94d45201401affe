"""Bus event: the platform's list of leaving upstreams changed."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PlatformListChanged:
    """Fired with the names of the upstreams that the platform lists as leaving."""

    leaving: frozenset[str]
