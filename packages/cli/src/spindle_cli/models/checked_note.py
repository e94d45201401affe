"""The answer to the check of a note."""

import msgspec


class CheckedNote(msgspec.Struct, frozen=True):
    """A note that would be accepted, and the version it would lead to."""

    number: int
    digest: str
    version: int
