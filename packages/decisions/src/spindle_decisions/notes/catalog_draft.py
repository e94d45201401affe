"""A catalog under change."""

from typing import Any

import msgspec

from spindle_decisions.catalog.catalog import Catalog
from spindle_decisions.catalog.data_center import DataCenter
from spindle_decisions.catalog.group import Group
from spindle_decisions.catalog.service import Service
from spindle_decisions.catalog.upstream import Upstream
from spindle_decisions.notes.change import Change
from spindle_decisions.notes.change_action import ChangeAction
from spindle_decisions.notes.errors import create_change_error
from spindle_decisions.notes.subject import Subject

_MODELS: dict[Subject, Any] = {
    Subject.DATA_CENTER: DataCenter,
    Subject.GROUP: Group,
    Subject.SERVICE: Service,
    Subject.UPSTREAM: Upstream,
}


class CatalogDraft:
    """The members of a catalog by name, changed one by one.

    The draft checks only that what is added is new and that what is changed or
    withdrawn is there; how members fit together is checked over the whole.
    """

    def __init__(self, catalog: Catalog) -> None:
        self.version = catalog.version
        self.members: dict[Subject, dict[str, Any]] = {
            Subject.DATA_CENTER: {item.name: item for item in catalog.data_centers},
            Subject.GROUP: {item.name: item for item in catalog.groups},
            Subject.SERVICE: {item.name: item for item in catalog.services},
            Subject.UPSTREAM: {item.name: item for item in catalog.upstreams},
        }

    def apply(self, change: Change) -> None:
        """Apply one change; raise `NoteError` if the member is there, or is not."""
        members = self.members[change.subject]
        values = {setting.field: setting.value for setting in change.settings}
        if change.action is ChangeAction.ADDED:
            if change.name in members:
                raise create_change_error(change, "exists already, allowed is a new name")
            members[change.name] = _MODELS[change.subject](name=change.name, **values)
            return
        if change.name not in members:
            raise create_change_error(change, "does not exist, allowed is the name of a member")
        if change.action is ChangeAction.WITHDRAWN:
            del members[change.name]
            return
        members[change.name] = msgspec.structs.replace(members[change.name], **values)

    def build(self) -> Catalog:
        """Return the next version of the catalog, members sorted by name."""
        return Catalog(
            version=self.version + 1,
            data_centers=self._sorted(Subject.DATA_CENTER),
            groups=self._sorted(Subject.GROUP),
            services=self._sorted(Subject.SERVICE),
            upstreams=self._sorted(Subject.UPSTREAM),
        )

    def _sorted(self, subject: Subject) -> tuple[Any, ...]:
        members = self.members[subject]
        return tuple(members[name] for name in sorted(members))
