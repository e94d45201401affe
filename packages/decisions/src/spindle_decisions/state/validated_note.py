"""A note that was validated against the state."""

import msgspec

from spindle_decisions.catalog.catalog import Catalog
from spindle_decisions.notes.note import Note


class ValidatedNote(msgspec.Struct, frozen=True):
    """A note that may be applied, and the resulting catalog."""

    note: Note
    catalog: Catalog
