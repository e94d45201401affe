"""The record of a note together with its text."""

import msgspec

from spindle_decisions.state.note_record import NoteRecord


class NoteDetails(NoteRecord, frozen=True):
    """The record of a note and its text, which is empty if it is no longer kept."""

    text: str = ""


def create_note_details(record: NoteRecord, text: str) -> NoteDetails:
    """Return the details of a note from its record and its text."""
    return NoteDetails(**msgspec.structs.asdict(record), text=text)
