"""One execution of a request at an upstream."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class SoakExecution:
    """A request that an upstream has started to run.

    `signature` identifies the upstream's answer; `valid` is whether that answer may be used.
    """

    request_id: str
    request_line: str
    service: str
    upstream: str
    started_at: float
    signature: str
    valid: bool
