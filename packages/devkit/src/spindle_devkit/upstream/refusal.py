"""The refusal body of an upstream."""

import msgspec


class Refusal(msgspec.Struct, frozen=True):
    """A refusal with its code; the request did not run when the header says so."""

    code: str
    text: str
    request_id: str = ""
