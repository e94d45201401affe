"""Selection of the snapshot to which a query is pinned."""

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
        """Return whether every service can serve the snapshot."""
        return len(self.serving) == len(self.services)


def choose_snapshot(
    index: CatalogIndex, group: str, held_snapshots: HeldSnapshots
) -> SnapshotSelection | None:
    """Choose the newest snapshot that every service of its epoch can serve.

    `held_snapshots` returns the snapshots that the usable replicas of a service
    hold. If no snapshot is complete, the one with the largest fraction of its own
    epoch's services is chosen, and the newer one of equals. An epoch later than
    the group's epoch in the catalog is never chosen, because its services are not
    known yet. Returns `None` if no replica holds a snapshot of a known epoch.
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
