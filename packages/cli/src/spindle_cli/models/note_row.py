"""An applied note."""

import msgspec


class NoteRow(msgspec.Struct, frozen=True):
    """What a control instance tells about one applied note."""

    number: int
    note_id: str = ""
    author: str = ""
    digest: str = ""
    version: int = 0
    applied_at_ms: int = 0
    text: str = ""
