"""Rendezvous hashing of keys to services."""

from collections.abc import Iterable

import xxhash


def service_for_key(key: str, services: Iterable[str]) -> str:
    """Return the service with the highest hash of service and key.

    When services are added or retired, only the keys of these services move.
    Every instance gets the same result. Raises `ValueError` if there are no
    services.
    """
    return max(services, key=lambda name: (_weight(name, key), name))


def _weight(name: str, key: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}\0{key}".encode())
