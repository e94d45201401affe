"""A checked release note."""

import msgspec

from spindle_decisions.notes.change import Change


class Note(msgspec.Struct, frozen=True):
    """A release note whose every value is valid by itself.

    Whether it fits a catalog is decided when it is applied. `digest` is the
    SHA-256 of the canonical form in hexadecimal digits: two texts that differ
    just in comments, spacing or order of sections and keys have the same digest.
    """

    number: int
    note_id: str
    author: str
    digest: str
    changes: tuple[Change, ...]
