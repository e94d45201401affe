"""Digest of a list of processes."""

import msgspec
import xxhash

from spindle_decisions.wire.fleet_instance import FleetInstance


def instances_digest(instances: tuple[FleetInstance, ...]) -> str:
    """Return the digest of processes in the order of their names."""
    return xxhash.xxh3_64_hexdigest(msgspec.msgpack.encode(instances))
