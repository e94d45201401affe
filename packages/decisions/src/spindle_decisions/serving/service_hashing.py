"""Which service owns a key."""

from collections.abc import Iterable

import xxhash


def service_for_key(key: str, services: Iterable[str]) -> str:
    """Return the service with the highest hash of service and key.

    This is rendezvous hashing: when services are added or retired, only the
    keys of these move. Every instance comes to the same owner. Raises
    `ValueError` when there are no services.
    """
    return max(services, key=lambda name: (_weight(name, key), name))


def _weight(name: str, key: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}\0{key}".encode())
