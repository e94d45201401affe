"""A parsed release note."""

import msgspec

from spindle_decisions.notes.change import Change


class Note(msgspec.Struct, frozen=True):
    """A release note in which each value is valid on its own.

    Whether the catalog allows the changes is checked when the note is applied.
    `digest` is the SHA-256 of the canonical form as hexadecimal digits: texts that
    differ only in comments, spacing or the order of sections and keys have the
    same digest.
    """

    number: int
    note_id: str
    author: str
    digest: str
    changes: tuple[Change, ...]
