"""Applies a release note to a catalog."""

from spindle_decisions.catalog.catalog import Catalog
from spindle_decisions.notes.catalog_draft import CatalogDraft
from spindle_decisions.notes.consistency_check import check_consistency
from spindle_decisions.notes.note import Note


def apply_note(catalog: Catalog, note: Note) -> Catalog:
    """Return the next version of the catalog, with all changes of the note.

    The order of the changes does not matter: only the resulting catalog has to be
    consistent, so a note may withdraw a service together with its upstreams.
    Raises `NoteError` if any change is not possible; nothing is applied then.
    """
    draft = CatalogDraft(catalog)
    for change in note.changes:
        draft.apply(change)
    result = draft.build()
    check_consistency(catalog, result, note)
    return result
