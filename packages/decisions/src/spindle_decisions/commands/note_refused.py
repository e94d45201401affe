"""The result of a release note that was refused."""

import msgspec


class NoteRefused(msgspec.Struct, frozen=True, tag="note-refused"):
    """A note was refused; `winner_digest` names the note that holds its number, if any."""

    code: str
    text: str
    winner_digest: str = ""
