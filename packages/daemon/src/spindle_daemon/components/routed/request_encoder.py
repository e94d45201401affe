"""Encoder of requests to upstreams."""

from spindle_daemon.core.platform_adapter import HeaderNames
from spindle_decisions.util.units import MS_PER_S
from spindle_decisions.wire.caller_request import CallerRequest

_ENCODING = "latin-1"


class RequestEncoder:
    """Encodes the part shared by all attempts of a request once, the rest per attempt."""

    def __init__(self, request: CallerRequest, header_names: HeaderNames) -> None:
        lines = [f"{request.method} {request.target} HTTP/1.1", f"Host: {request.host}"]
        lines.extend(f"{name}: {value}" for name, value in request.headers)
        if request.has_body:
            lines.append(f"Content-Length: {len(request.body)}")
        self.head = "\r\n".join(lines).encode(_ENCODING)
        self.body = request.body
        self.header_names = header_names

    def encode(self, upstream_id: str, left_s: float) -> bytes:
        """Return the request for one upstream, with the time left in its deadline header."""
        left_ms = max(1, int(left_s * MS_PER_S))
        attempt_lines = (
            f"\r\n{self.header_names.deadline_ms}: {left_ms}"
            f"\r\n{self.header_names.expect_upstream}: {upstream_id}\r\n\r\n"
        )
        return b"".join((self.head, attempt_lines.encode(_ENCODING), self.body))
