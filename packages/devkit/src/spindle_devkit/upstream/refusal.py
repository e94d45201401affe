"""The refusal body of an upstream."""

import msgspec


class Refusal(msgspec.Struct, frozen=True):
    """A refusal with its code; the not-run header states whether the request did not run."""

    code: str
    text: str
    request_id: str = ""
