"""The record of an applied note."""

import msgspec


class NoteRecord(msgspec.Struct, frozen=True):
    """The outcome of one applied note, kept permanently.

    `applied_at_ms` is the wall clock of the leader that proposed the note in Unix
    milliseconds, but never lower than that of the preceding note.
    """

    number: int
    note_id: str
    author: str
    digest: str
    version: int
    catalog_digest: str
    applied_at_ms: int
    entry_index: int
