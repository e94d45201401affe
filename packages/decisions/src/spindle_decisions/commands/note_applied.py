"""The result of a release note that was applied."""

import msgspec


class NoteApplied(msgspec.Struct, frozen=True, tag="note-applied"):
    """The note is applied to the catalog; a resent note has the same result."""

    number: int
    note_id: str
    digest: str
    version: int
    catalog_digest: str
