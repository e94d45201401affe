"""The answer of an upstream as read from the wire."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamReply:
    """Status, body and the headers of the protocol; empty where not given."""

    status: int
    body: bytes
    request_id: str
    snapshot: str
    load: str
    draining: bool
    not_run: bool
