"""What is kept of a note that was applied."""

import msgspec


class NoteRecord(msgspec.Struct, frozen=True):
    """The outcome of one applied note, kept for good.

    `applied_at_ms` is the wall clock of the leader that proposed it in Unix
    milliseconds, never lower than that of the note before.
    """

    number: int
    note_id: str
    author: str
    digest: str
    version: int
    catalog_digest: str
    applied_at_ms: int
    entry_index: int
