"""The answer to a request."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HttpReply:
    """HTTP status and body."""

    status: int
    body: bytes
