"""One question to an owner."""

import dataclasses

from spindle_decisions.wire.fleet_instance import FleetInstance


@dataclasses.dataclass(frozen=True)
class OwnerRequest:
    """Ask `owner` for the shards at `places` of the route."""

    request_token: int
    owner: FleetInstance
    shard_indexes: tuple[int, ...]
