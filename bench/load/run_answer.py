"""The response to a non-idempotent request."""

import msgspec


class RunAnswer(msgspec.Struct, frozen=True):
    """The status, the code of a refusal, and the body; status 0 if there was no response."""

    status: int
    code: str
    not_run: bool
    body: bytes
