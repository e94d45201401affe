"""One run of a request at an upstream."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Run:
    """A request that an upstream began to work on.

    `stamp` is its signature of the answer; `good` tells whether that answer may be used.
    """

    request_id: str
    line: str
    service: str
    upstream: str
    at: float
    stamp: str
    good: bool
