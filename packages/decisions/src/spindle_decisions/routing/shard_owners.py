"""Which entry instance of a data centre owns a shard."""

import zlib
from collections.abc import Iterable

from spindle_decisions.wire.fleet_instance import FleetInstance


def owners_of(shard: str, peers: tuple[FleetInstance, ...]) -> list[FleetInstance]:
    """Return the instances in the order in which they own a shard, the owner first.

    Rendezvous hashing: when an instance leaves, only the shards that it owned move.
    """
    return sorted(peers, key=lambda peer: zlib.crc32(f"{shard} {peer.name}".encode()), reverse=True)


def group_by_owner(
    shards: Iterable[tuple[int, str]], peers: tuple[FleetInstance, ...], rank: int
) -> dict[FleetInstance, tuple[int, ...]]:
    """Return the places of the shards by the instance of that rank among their owners."""
    groups: dict[FleetInstance, list[int]] = {}
    for at, shard in shards:
        ordered = owners_of(shard, peers)
        if rank < len(ordered):
            groups.setdefault(ordered[rank], []).append(at)
    return {owner: tuple(places) for owner, places in groups.items()}
