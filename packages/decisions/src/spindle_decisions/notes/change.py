"""One change of a release note."""

import msgspec

from spindle_decisions.notes.catalog_item_kind import CatalogItemKind
from spindle_decisions.notes.change_action import ChangeAction
from spindle_decisions.notes.setting import Setting


class Change(msgspec.Struct, frozen=True):
    """One section of a note: a catalog item that is added, changed or withdrawn.

    `settings` holds only the values that the note gives; an added item has the
    defaults of its model for all other fields. `line` is the line of the section
    in the text, counted from 1, for error messages.
    """

    action: ChangeAction
    item_kind: CatalogItemKind = msgspec.field(name="subject")
    name: str
    settings: tuple[Setting, ...] = ()
    line: int = 0

    @property
    def section(self) -> str:
        """Return the section header of the note, such as `added group comptoir`."""
        return f"{self.action} {self.item_kind} {self.name}"

    def has_value(self, field: str) -> bool:
        """Return whether the note gives a value for the field of the model."""
        return any(setting.field == field for setting in self.settings)
