"""The HTTP response of an upstream."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamReply:
    """Status, body and protocol headers; a missing header is empty or false."""

    status: int
    body: bytes
    request_id: str
    snapshot: str
    load: str
    draining: bool
    not_run: bool
