"""Assignment of shards to the entry instances of a data centre."""

import zlib
from collections.abc import Iterable

from spindle_decisions.wire.fleet_instance import FleetInstance


def owner_of(shard: str, peers: tuple[FleetInstance, ...]) -> FleetInstance:
    """Return the instance that owns a shard, by rendezvous hashing.

    When an instance leaves, only the shards that it owned get another owner.
    """
    return max(peers, key=lambda peer: zlib.crc32(f"{shard} {peer.name}".encode()))


def shard_indexes_by_owner(
    shards: Iterable[tuple[int, str]], peers: tuple[FleetInstance, ...]
) -> dict[FleetInstance, tuple[int, ...]]:
    """Return the indexes of the shards, grouped by owner."""
    groups: dict[FleetInstance, list[int]] = {}
    for index, shard in shards:
        groups.setdefault(owner_of(shard, peers), []).append(index)
    return {owner: tuple(indexes) for owner, indexes in groups.items()}
