"""Fixtures for the serving decisions: a catalog, an upstream pool and an observer."""

import random

from spindle_decisions.catalog.catalog import Catalog
from spindle_decisions.catalog.data_center import DataCenter
from spindle_decisions.catalog.group import Group
from spindle_decisions.catalog.index import CatalogIndex
from spindle_decisions.catalog.service import Service
from spindle_decisions.catalog.upstream import Upstream
from spindle_decisions.serving.connection_shares import STARTUP_HOLD_S, ConnectionShares
from spindle_decisions.serving.default_policy import DefaultPolicy, PolicyFeatures
from spindle_decisions.serving.serving_policy import ServingPolicy
from spindle_decisions.serving.snapshot_id import SnapshotId
from spindle_decisions.serving.upstream_pool import UpstreamPool
from spindle_decisions.serving.upstream_state import UpstreamState

HERE = "rennes-a"
AWAY = "brest-b"
GROUP = "comptoir"
OLD = SnapshotId(1, 1)
NEW = SnapshotId(1, 2)
NEXT_EPOCH = SnapshotId(2, 3)


class CountingObserver:
    """A query observer that counts the calls of each method."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}

    def __getattr__(self, name: str):  # type: ignore[no-untyped-def]
        def count(*args: object) -> None:
            self.counts[name] = self.counts.get(name, 0) + 1

        return count


def catalog_index(services: int = 3, replicas: int = 2, epoch: int = 1) -> CatalogIndex:
    """Return an index of the services s1, s2 ...; epoch 2 splits the last one in two."""
    names = [f"s{number}" for number in range(1, services + 1)]
    service_items = [Service(name, GROUP) for name in names]
    service_items[-1] = Service(names[-1], GROUP, last_epoch=1)
    service_items += [Service(f"{names[-1]}{half}", GROUP, first_epoch=2) for half in "xy"]
    upstreams = [
        Upstream(f"{service.name}-{letter}", service.name, HERE, "127.0.0.1", 1)
        for service in service_items
        for letter in "abcd"[:replicas]
    ]
    group = Group(GROUP, epoch=epoch)
    return CatalogIndex(
        Catalog(1, (DataCenter(HERE),), (group,), tuple(service_items), tuple(upstreams))
    )


def upstream_pool(
    index: CatalogIndex | None = None, policy: ServingPolicy | None = None, now: float = 100.0
) -> UpstreamPool:
    """Return a pool whose epoch 1 upstreams hold the snapshot `OLD`.

    The start-up hold of its connection shares is over.
    """
    shares = ConnectionShares("e1", now - STARTUP_HOLD_S)
    shares.update_instances({"e1": (1, False)}, now)
    created = UpstreamPool(
        policy or DefaultPolicy(HERE, PolicyFeatures()), shares, random.Random(1)
    )
    created.update_catalog(index or catalog_index(), now)
    for state in created.states.values():
        if created.index.services[state.upstream.service].in_epoch(1):
            created.update_snapshots(state, frozenset((OLD,)))
    return created


def upstream_state(name: str = "s1-a", now: float = 0.0, data_center: str = HERE) -> UpstreamState:
    """Return the state of an upstream whose slow start is over."""
    upstream = Upstream(name, "s1", data_center, "127.0.0.1", 1)
    created = UpstreamState(upstream, now)
    created.in_use_since = now - 1000.0
    created.connection_share = 25
    return created
