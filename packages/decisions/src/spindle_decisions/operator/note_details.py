"""One note as an operator sees it."""

import msgspec

from spindle_decisions.state.note_record import NoteRecord


class NoteDetails(NoteRecord, frozen=True):
    """The record of a note with its text, which is empty once it is no longer kept."""

    text: str = ""


def create_note_details(record: NoteRecord, text: str) -> NoteDetails:
    """Return a record with its text."""
    return NoteDetails(**msgspec.structs.asdict(record), text=text)
