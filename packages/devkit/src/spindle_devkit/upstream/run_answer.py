"""The body of an answer to a non-idempotent request."""

import msgspec


class RunAnswer(msgspec.Struct, frozen=True):
    """The outcome of one run; `run` grows with each run at this upstream."""

    service: str
    key: str
    upstream: str
    run: int
    body: msgspec.Raw
