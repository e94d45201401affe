"""A caller of the tier, for tests and the demonstration."""

from typing import Any

import msgspec

from bench.http_exchange import exchange
from spindle_decisions.wire.headers import (
    HEADER_DEADLINE_MS,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_MIN_COVERAGE,
)

DEFAULT_TIMEOUT_S = 20.0


class CallerAnswer(msgspec.Struct, frozen=True):
    """The status, the code of a refusal or an empty string, the decoded body, and the time."""

    status: int
    code: str
    body: Any
    took_s: float


class Caller:
    """Sends requests to one entry instance."""

    def __init__(self, port: int, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        self.port = port
        self.timeout_s = timeout_s

    def query(
        self, group: str, deadline_ms: int | None = None, min_coverage: float | None = None
    ) -> CallerAnswer:
        """Send a query over all services of a group."""
        headers = {}
        if deadline_ms is not None:
            headers[HEADER_DEADLINE_MS] = str(deadline_ms)
        if min_coverage is not None:
            headers[HEADER_MIN_COVERAGE] = str(min_coverage)
        return self.post(f"/v1/groups/{group}/query", b'{"query":{"text":"stencil"}}', headers)

    def run(self, group: str, key: str, request_id: str, body: str = "book") -> CallerAnswer:
        """Send a non-idempotent request."""
        data = msgspec.json.encode({"key": key, "body": {"what": body}})
        return self.post(f"/v1/groups/{group}/run", data, {HEADER_IDEMPOTENCY_KEY: request_id})

    def post(self, path: str, body: bytes, headers: dict[str, str]) -> CallerAnswer:
        """Send a POST; raises `OSError` if the entry cannot be reached."""
        done = exchange(self.port, "POST", path, body, headers, self.timeout_s)
        return CallerAnswer(done.status, done.code, msgspec.json.decode(done.data), done.took_s)
