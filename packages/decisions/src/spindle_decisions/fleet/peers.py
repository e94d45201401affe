"""The entry instances of one data centre."""

import msgspec
import xxhash

from spindle_decisions.wire.fleet_instance import FleetInstance


def peers_digest(peers: tuple[FleetInstance, ...]) -> str:
    """Return the digest of a list of instances in the order of their names."""
    return xxhash.xxh3_64_hexdigest(msgspec.msgpack.encode(peers))
