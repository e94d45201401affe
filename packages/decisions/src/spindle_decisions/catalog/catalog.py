"""The catalog: the replicated configuration of the deployment at one version."""

import msgspec
import xxhash

from spindle_decisions.catalog.data_center import DataCenter
from spindle_decisions.catalog.group import Group
from spindle_decisions.catalog.service import Service
from spindle_decisions.catalog.upstream import Upstream


class Catalog(msgspec.Struct, frozen=True):
    """All data centres, groups, services and upstreams at one version.

    `version` counts the applied changes and only grows. The items of each tuple
    are sorted by name, so that equal content has the same encoding and digest on
    every instance.
    """

    version: int = 0
    data_centers: tuple[DataCenter, ...] = ()
    groups: tuple[Group, ...] = ()
    services: tuple[Service, ...] = ()
    upstreams: tuple[Upstream, ...] = ()

    def digest(self) -> str:
        """Return the digest of the encoded catalog, 32 hexadecimal digits."""
        return xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode(self))


EMPTY_CATALOG = Catalog()
