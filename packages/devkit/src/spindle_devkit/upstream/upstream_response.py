"""One answer of a stand-in upstream before it is written."""

from dataclasses import dataclass


@dataclass(frozen=True)
class UpstreamResponse:
    """Status line, body and the headers that belong to the answered request.

    A `truncated` answer announces its whole length, but half of its body is
    written before the connection is closed.
    """

    status: str
    body: bytes
    request_id: str = ""
    snapshot: str = ""
    not_run: bool = False
    truncated: bool = False
