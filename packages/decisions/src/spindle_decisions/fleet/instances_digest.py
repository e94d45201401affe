"""Digest of a list of processes."""

import msgspec
import xxhash

from spindle_decisions.wire.fleet_instance import FleetInstance


def instances_digest(instances: tuple[FleetInstance, ...]) -> str:
    """Return the digest of a list of processes; another order gives another digest."""
    return xxhash.xxh3_64_hexdigest(msgspec.msgpack.encode(instances))
