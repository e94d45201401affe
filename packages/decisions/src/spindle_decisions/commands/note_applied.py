"""The result of a release note that was applied."""

import msgspec


class NoteApplied(msgspec.Struct, frozen=True, tag="note-applied"):
    """A note is part of the catalog; a resend returns the very same result."""

    number: int
    note_id: str
    digest: str
    version: int
    catalog_digest: str
