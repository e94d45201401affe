"""One request to a shard owner."""

import dataclasses

from spindle_decisions.wire.fleet_instance import FleetInstance


@dataclasses.dataclass(frozen=True)
class OwnerRequest:
    """Request to `owner` for the shards at `shard_indexes` of the route."""

    request_token: int
    owner: FleetInstance
    shard_indexes: tuple[int, ...]
