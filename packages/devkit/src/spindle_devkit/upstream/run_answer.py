"""The body of an answer to a non-idempotent request."""

import msgspec


class RunAnswer(msgspec.Struct, frozen=True):
    """The outcome of one run; `run` is the number of the run at this upstream, from 1."""

    service: str
    key: str
    upstream: str
    run: int
    body: msgspec.Raw
