"""In which data centre the owners of an entry instance's shards are."""

import zlib
from collections.abc import Iterable

from spindle_decisions.routing.upstream_list import UpstreamList
from spindle_decisions.wire.fleet_instance import FleetInstance

# A data centre with upstreams of this part of all services has owners of its own.
ENOUGH_SERVICES = 0.5


class OwnerPlaces:
    """Knows which data centres have upstreams of most services.

    Where upstreams are far, each part would cross between data centres by itself; an
    owner beside them gathers many parts and sends one answer.
    """

    def __init__(self) -> None:
        self.digest = ""
        self.parts: dict[str, float] = {}

    def take(self, held: UpstreamList) -> None:
        """Take the list of upstreams, if it is another one."""
        if held.digest == self.digest:
            return
        self.digest = held.digest
        services: dict[str, set[str]] = {}
        for item in held.upstreams:
            services.setdefault(item.data_center, set()).add(item.service)
        count = len(set().union(*services.values()))
        self.parts = {name: len(found) / count for name, found in services.items()}

    def choose(self, asker: FleetInstance, data_centers: Iterable[str]) -> str:
        """Return the data centre, of those with entry instances, whose owners to ask.

        Instances without upstreams nearby divide themselves among the others.
        """
        own = asker.data_center
        if self.parts.get(own, 0.0) >= ENOUGH_SERVICES:
            return own
        near = [name for name in data_centers if self.parts.get(name, 0.0) >= ENOUGH_SERVICES]
        if not near:
            return own
        return max(near, key=lambda name: zlib.crc32(f"{asker.name} {name}".encode()))
