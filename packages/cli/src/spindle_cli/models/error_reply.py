"""The body of every refusal."""

import msgspec


class ErrorReply(msgspec.Struct, frozen=True):
    """The code and text of an error."""

    code: str = "internal"
    text: str = ""
    winner_digest: str = ""
