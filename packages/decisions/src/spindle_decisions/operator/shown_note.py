"""One note as an operator sees it."""

import msgspec

from spindle_decisions.state.note_record import NoteRecord


class ShownNote(NoteRecord, frozen=True):
    """The record of a note with its text, which is empty once it is no longer kept."""

    text: str = ""


def shown_note(record: NoteRecord, text: str) -> ShownNote:
    """Return a record with its text."""
    return ShownNote(**msgspec.structs.asdict(record), text=text)
