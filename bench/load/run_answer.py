"""What a non-idempotent request got."""

import msgspec


class RunAnswer(msgspec.Struct, frozen=True):
    """Status, code of a refusal and body; status 0 when no answer came."""

    status: int
    code: str
    not_run: bool
    body: bytes
