"""The choice of the snapshot that a query is pinned to."""

import dataclasses
from collections.abc import Callable, Iterable

from spindle_decisions.catalog.index import CatalogIndex
from spindle_decisions.serving.snapshot_id import SnapshotId

HeldSnapshots = Callable[[str], Iterable[SnapshotId]]


@dataclasses.dataclass(frozen=True)
class SnapshotSelection:
    """A snapshot, the services of its partition epoch, and those that can serve it."""

    snapshot: SnapshotId
    services: tuple[str, ...]
    serving: frozenset[str]

    @property
    def is_complete(self) -> bool:
        """Tell whether every service can serve the snapshot."""
        return len(self.serving) == len(self.services)


def choose_snapshot(
    index: CatalogIndex, group: str, held_snapshots: HeldSnapshots
) -> SnapshotSelection | None:
    """Choose the newest snapshot that every service of its epoch can serve.

    `held_by` gives the snapshots that the usable replicas of a service hold.
    When no snapshot is whole, the one that covers the largest share of its own
    epoch wins, the newer of equals. An epoch later than the one of the catalog
    is never chosen: its services are not known yet. Returns `None` when nothing
    is held at all.
    """
    holders: dict[SnapshotId, set[str]] = {}
    for service in index.by_group[group]:
        for snapshot in set(held_snapshots(service.name)):
            if service.in_epoch(snapshot.epoch):
                holders.setdefault(snapshot, set()).add(service.name)
    newest_epoch = index.groups[group].epoch
    best: SnapshotSelection | None = None
    for snapshot in sorted(holders, reverse=True):
        if snapshot.epoch > newest_epoch:
            continue
        services = tuple(item.name for item in index.services_of(group, snapshot.epoch))
        selection = SnapshotSelection(snapshot, services, frozenset(holders[snapshot]))
        if selection.is_complete:
            return selection
        if best is None or _coverage(selection) > _coverage(best):
            best = selection
    return best


def _coverage(selection: SnapshotSelection) -> float:
    return len(selection.serving) / len(selection.services)
