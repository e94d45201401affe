"""A response of a stand-in upstream."""

from dataclasses import dataclass


@dataclass(frozen=True)
class UpstreamResponse:
    """The status line, the body and the values of the request-specific headers.

    For a `truncated` response, Content-Length is that of the complete body, but
    only half of the body is written before the connection is closed.
    """

    status: str
    body: bytes
    request_id: str = ""
    snapshot: str = ""
    not_run: bool = False
    truncated: bool = False
