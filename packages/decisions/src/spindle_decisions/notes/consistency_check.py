"""Checks the referential integrity of a changed catalog."""

from spindle_decisions.catalog.catalog import Catalog
from spindle_decisions.catalog.group import Group, GroupKind
from spindle_decisions.catalog.service import Service
from spindle_decisions.exceptions import NoteError
from spindle_decisions.notes.catalog_item_kind import CatalogItemKind
from spindle_decisions.notes.change import Change
from spindle_decisions.notes.change_action import ChangeAction
from spindle_decisions.notes.const import (
    CONF_ADDRESS,
    CONF_DATA_CENTER,
    CONF_EPOCH,
    CONF_FIRST_EPOCH,
    CONF_GROUP,
    CONF_LAST_EPOCH,
    CONF_SERVICE,
    MAX_DATA_CENTERS,
    MAX_GROUPS,
    MAX_SERVICES,
    MAX_UPSTREAMS,
)
from spindle_decisions.notes.errors import create_change_error
from spindle_decisions.notes.note import Note


def check_consistency(before: Catalog, after: Catalog, note: Note) -> None:
    """Raise `NoteError` unless the catalog after the note is consistent.

    Referenced items must exist, addresses must be unique, the number of items of
    each kind is limited, epochs never decrease, and a query group that had
    services in its current epoch must still have at least one in its new epoch.
    """
    _ConsistencyCheck(before, after, note).check()


class _ConsistencyCheck:
    """Checks the catalog after one note, with indexes of both catalogs."""

    def __init__(self, before: Catalog, after: Catalog, note: Note) -> None:
        self.before = before
        self.after = after
        self.note = note
        self.changes = {(change.item_kind, change.name): change for change in note.changes}
        self.old_groups = {group.name: group for group in before.groups}
        self.old_services = {service.name: service for service in before.services}
        self.groups = {group.name: group for group in after.groups}
        self.old_groups_with_services = _groups_with_services(before)
        self.groups_with_services = _groups_with_services(after)

    def check(self) -> None:
        self._check_sizes()
        self._check_upstreams()
        self._check_addresses()
        self._check_services()
        for group in self.after.groups:
            self._check_group(group)

    def _check_sizes(self) -> None:
        sizes = (
            ("data centres", len(self.after.data_centers), MAX_DATA_CENTERS),
            ("groups", len(self.after.groups), MAX_GROUPS),
            ("services", len(self.after.services), MAX_SERVICES),
            ("upstreams", len(self.after.upstreams), MAX_UPSTREAMS),
        )
        for items, count, allowed in sizes:
            if count > allowed:
                raise NoteError(f"the catalog would hold {count} {items}, allowed are {allowed}")

    def _check_upstreams(self) -> None:
        services = {service.name for service in self.after.services}
        data_centers = {item.name for item in self.after.data_centers}
        for upstream in self.after.upstreams:
            if upstream.service not in services:
                self._refuse_reference(
                    CatalogItemKind.UPSTREAM,
                    upstream.name,
                    CONF_SERVICE,
                    CatalogItemKind.SERVICE,
                    upstream.service,
                )
            if upstream.data_center not in data_centers:
                self._refuse_reference(
                    CatalogItemKind.UPSTREAM,
                    upstream.name,
                    CONF_DATA_CENTER,
                    CatalogItemKind.DATA_CENTER,
                    upstream.data_center,
                )

    def _check_addresses(self) -> None:
        names_by_address: dict[tuple[str, int], str] = {}
        for upstream in self.after.upstreams:
            first_name = names_by_address.setdefault((upstream.host, upstream.port), upstream.name)
            if first_name == upstream.name:
                continue
            changed = self._find_change(CatalogItemKind.UPSTREAM, upstream.name)
            other = first_name
            if changed is None or not changed.has_value("host"):
                changed, other = (
                    self._find_change(CatalogItemKind.UPSTREAM, first_name),
                    upstream.name,
                )
            self._refuse(
                changed,
                f"{CONF_ADDRESS} = '{upstream.host}:{upstream.port}': is the address of upstream "
                f"{other}, allowed is an address that no other upstream has",
            )

    def _check_services(self) -> None:
        for service in self.after.services:
            if service.group not in self.groups:
                self._refuse_reference(
                    CatalogItemKind.SERVICE,
                    service.name,
                    CONF_GROUP,
                    CatalogItemKind.GROUP,
                    service.group,
                )
            self._check_epochs(service)

    def _check_epochs(self, service: Service) -> None:
        change = self._find_change(CatalogItemKind.SERVICE, service.name)
        if change is None:
            return
        newest = self.groups[service.group].epoch + 1
        if change.has_value("first_epoch") and service.first_epoch > newest:
            self._refuse(
                change,
                f"{CONF_FIRST_EPOCH} = '{service.first_epoch}': allowed is at most {newest}, "
                f"the epoch after that of group {service.group}",
            )
        if service.last_epoch is not None and service.last_epoch < service.first_epoch:
            self._refuse(
                change,
                f"{CONF_LAST_EPOCH} = '{service.last_epoch}': allowed is none or at least "
                f"{CONF_FIRST_EPOCH}, here {service.first_epoch}",
            )
        self._check_history(service, change)

    def _check_history(self, service: Service, change: Change) -> None:
        old = self.old_services.get(service.name)
        if old is None:
            return
        old_group = self.old_groups[old.group]
        for epoch in range(max(1, old_group.epoch - 1), old_group.epoch + 1):
            if old.in_epoch(epoch) == service.in_epoch(epoch):
                continue
            key = CONF_FIRST_EPOCH if change.has_value("first_epoch") else CONF_LAST_EPOCH
            self._refuse(
                change,
                f"{key}: changes whether the service is part of epoch {epoch}, allowed are "
                f"changes to epochs after {old_group.epoch}",
            )

    def _check_group(self, group: Group) -> None:
        old = self.old_groups.get(group.name)
        if old is None:
            return
        change = self._find_change(CatalogItemKind.GROUP, group.name)
        if group.epoch < old.epoch:
            self._refuse(
                change,
                f"{CONF_EPOCH} = '{group.epoch}': allowed is at least {old.epoch}, "
                "an epoch never decreases",
            )
        if group.kind is not GroupKind.QUERY or group.name not in self.old_groups_with_services:
            return
        if group.name not in self.groups_with_services:
            self._refuse(
                change or self._find_withdrawal_in(group.name),
                f"group {group.name} would have no service in epoch {group.epoch}, "
                "allowed is at least one",
            )

    def _find_withdrawal_in(self, group: str) -> Change | None:
        for change in self.note.changes:
            old = self.old_services.get(change.name)
            if (
                change.item_kind is CatalogItemKind.SERVICE
                and old is not None
                and old.group == group
            ):
                return change
        return None

    def _find_change(self, item_kind: CatalogItemKind, name: str) -> Change | None:
        return self.changes.get((item_kind, name))

    def _refuse_reference(
        self,
        item_kind: CatalogItemKind,
        name: str,
        key: str,
        target: CatalogItemKind,
        target_name: str,
    ) -> None:
        withdrawal = self._find_change(target, target_name)
        if withdrawal is not None and withdrawal.action is ChangeAction.WITHDRAWN:
            self._refuse(
                withdrawal,
                f"{item_kind} {name} still uses it, allowed once nothing uses it",
            )
        self._refuse(
            self._find_change(item_kind, name),
            f"{key} = '{target_name}': allowed is the name of a {target} that exists",
        )

    def _refuse(self, change: Change | None, reason: str) -> None:
        if change is None:
            raise NoteError(reason)
        raise create_change_error(change, reason)


def _groups_with_services(catalog: Catalog) -> frozenset[str]:
    """Return the groups that have at least one service in their current epoch."""
    epochs = {group.name: group.epoch for group in catalog.groups}
    return frozenset(
        service.group
        for service in catalog.services
        if service.group in epochs and service.in_epoch(epochs[service.group])
    )
