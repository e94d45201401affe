"""A mutable copy of a catalog to which the changes of a note are applied."""

from typing import Any

import msgspec

from spindle_decisions.catalog.catalog import Catalog
from spindle_decisions.catalog.data_center import DataCenter
from spindle_decisions.catalog.group import Group
from spindle_decisions.catalog.service import Service
from spindle_decisions.catalog.upstream import Upstream
from spindle_decisions.notes.catalog_item_kind import CatalogItemKind
from spindle_decisions.notes.change import Change
from spindle_decisions.notes.change_action import ChangeAction
from spindle_decisions.notes.errors import create_change_error

_MODELS: dict[CatalogItemKind, Any] = {
    CatalogItemKind.DATA_CENTER: DataCenter,
    CatalogItemKind.GROUP: Group,
    CatalogItemKind.SERVICE: Service,
    CatalogItemKind.UPSTREAM: Upstream,
}


class CatalogDraft:
    """Applies changes one by one to the items of a catalog, indexed by kind and name.

    It checks only that an added item is new and that a changed or withdrawn item
    exists. References between items are checked later, on the whole result.
    """

    def __init__(self, catalog: Catalog) -> None:
        self.version = catalog.version
        self.items: dict[CatalogItemKind, dict[str, Any]] = {
            CatalogItemKind.DATA_CENTER: {item.name: item for item in catalog.data_centers},
            CatalogItemKind.GROUP: {item.name: item for item in catalog.groups},
            CatalogItemKind.SERVICE: {item.name: item for item in catalog.services},
            CatalogItemKind.UPSTREAM: {item.name: item for item in catalog.upstreams},
        }

    def apply(self, change: Change) -> None:
        """Apply one change.

        Raises `NoteError` if an added item exists already, or if a changed or
        withdrawn item does not exist.
        """
        items = self.items[change.item_kind]
        values = {setting.field: setting.value for setting in change.settings}
        if change.action is ChangeAction.ADDED:
            if change.name in items:
                raise create_change_error(change, "exists already, allowed is a new name")
            items[change.name] = _MODELS[change.item_kind](name=change.name, **values)
            return
        if change.name not in items:
            raise create_change_error(change, "does not exist, allowed is the name of a member")
        if change.action is ChangeAction.WITHDRAWN:
            del items[change.name]
            return
        items[change.name] = msgspec.structs.replace(items[change.name], **values)

    def build(self) -> Catalog:
        """Return the next version of the catalog, with its items sorted by name."""
        return Catalog(
            version=self.version + 1,
            data_centers=self._sorted(CatalogItemKind.DATA_CENTER),
            groups=self._sorted(CatalogItemKind.GROUP),
            services=self._sorted(CatalogItemKind.SERVICE),
            upstreams=self._sorted(CatalogItemKind.UPSTREAM),
        )

    def _sorted(self, item_kind: CatalogItemKind) -> tuple[Any, ...]:
        items = self.items[item_kind]
        return tuple(items[name] for name in sorted(items))
