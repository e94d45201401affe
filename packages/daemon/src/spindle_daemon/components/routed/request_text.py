"""The bytes of a request to an upstream."""

from spindle_daemon.core.platform_adapter import HeaderNames
from spindle_decisions.util.units import MS_PER_S
from spindle_decisions.wire.caller_request import CallerRequest

_ENCODING = "latin-1"


class RequestText:
    """The part of a request that all its sends share, and the lines that differ."""

    def __init__(self, request: CallerRequest, names: HeaderNames) -> None:
        lines = [f"{request.method} {request.target} HTTP/1.1", f"Host: {request.host}"]
        lines.extend(f"{name}: {value}" for name, value in request.headers)
        if request.has_body:
            lines.append(f"Content-Length: {len(request.body)}")
        self.head = "\r\n".join(lines).encode(_ENCODING)
        self.body = request.body
        self.names = names

    def encode(self, upstream_id: str, left_s: float) -> bytes:
        """Return the bytes for one upstream, with the milliseconds that are left."""
        left_ms = max(1, int(left_s * MS_PER_S))
        own = (
            f"\r\n{self.names.deadline_ms}: {left_ms}"
            f"\r\n{self.names.expect_upstream}: {upstream_id}\r\n\r\n"
        )
        return b"".join((self.head, own.encode(_ENCODING), self.body))
