"""Applies a release note to a catalog."""

from spindle_decisions.catalog.catalog import Catalog
from spindle_decisions.notes.catalog_draft import CatalogDraft
from spindle_decisions.notes.consistency_check import check_consistency
from spindle_decisions.notes.note import Note


def apply_note(catalog: Catalog, note: Note) -> Catalog:
    """Return the catalog at the next version with every change of the note.

    The order of the changes does not matter: the result is checked as a whole,
    so a note may withdraw a service together with its upstreams. Raises
    `NoteError` when any change does not fit, and then nothing is applied.
    """
    draft = CatalogDraft(catalog)
    for change in note.changes:
        draft.apply(change)
    result = draft.build()
    check_consistency(catalog, result, note)
    return result
