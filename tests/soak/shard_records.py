"""Records held by the shards of the soak."""

import hashlib
import heapq
from collections.abc import Iterable

from spindle_decisions.routing.records import RECORD_BYTES
from tests.soak import const


def shard_records(service: str, target: str) -> bytes:
    """Return the records of a shard for a target, greatest first; the same on every call."""
    digests = (
        hashlib.sha256(f"{service} {target} {number}".encode()).digest()[:RECORD_BYTES]
        for number in range(const.RECORDS_PER_SHARD)
    )
    return b"".join(sorted(digests, reverse=True))


def top_records(services: Iterable[str], target: str) -> bytes:
    """Return the greatest `TOP` records of some shards for a target, greatest first."""
    records = [
        body[at : at + RECORD_BYTES]
        for body in (shard_records(service, target) for service in services)
        for at in range(0, len(body), RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(const.TOP, records))
