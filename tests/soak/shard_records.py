"""Records held by the shards of the soak."""

import hashlib

from spindle_decisions.routing.records import RECORD_BYTES
from tests.soak import const


def shard_records(service: str, target: str) -> bytes:
    """Return the records of a shard for a target, greatest first; the same on every call."""
    digests = (
        hashlib.sha256(f"{service} {target} {number}".encode()).digest()[:RECORD_BYTES]
        for number in range(const.RECORDS_PER_SHARD)
    )
    return b"".join(sorted(digests, reverse=True))
