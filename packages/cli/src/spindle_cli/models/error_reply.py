"""The body of every answer with an error status."""

import msgspec


class ErrorReply(msgspec.Struct, frozen=True):
    """The code and text of an error.

    `winner_digest` is the digest of the applied note that has the same number or id
    as a refused one, and empty for all other errors.
    """

    code: str = "internal"
    text: str = ""
    winner_digest: str = ""
