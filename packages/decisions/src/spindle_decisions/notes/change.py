"""One change of a release note."""

import msgspec

from spindle_decisions.notes.catalog_item_kind import CatalogItemKind
from spindle_decisions.notes.change_action import ChangeAction
from spindle_decisions.notes.setting import Setting


class Change(msgspec.Struct, frozen=True):
    """One section of a note: a member that is added, changed or withdrawn.

    `settings` holds only what the note states; an added member takes the
    defaults of its model for the rest. `line` is the line of the section in the
    text, counted from 1, for the text of errors.
    """

    action: ChangeAction
    item_kind: CatalogItemKind
    name: str
    settings: tuple[Setting, ...] = ()
    line: int = 0

    @property
    def section(self) -> str:
        """Return the section as written in a note, such as `added group comptoir`."""
        return f"{self.action} {self.item_kind} {self.name}"

    def has_value(self, field: str) -> bool:
        """Tell whether the note gives a value for the field."""
        return any(setting.field == field for setting in self.settings)
