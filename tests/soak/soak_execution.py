"""One run of a request at an upstream."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class SoakExecution:
    """A request that an upstream began to work on.

    `stamp` is its signature of the answer; `good` tells whether that answer may be used.
    """

    request_id: str
    request_line: str
    service: str
    upstream: str
    started_at: float
    signature: str
    valid: bool
