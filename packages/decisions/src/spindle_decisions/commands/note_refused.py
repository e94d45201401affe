"""The result of a release note that was refused."""

import msgspec


class NoteRefused(msgspec.Struct, frozen=True, tag="note-refused"):
    """The note is refused.

    `winner_digest` is the digest of the applied note that has the same number or id,
    and empty if that is not the reason.
    """

    code: str
    text: str
    winner_digest: str = ""
