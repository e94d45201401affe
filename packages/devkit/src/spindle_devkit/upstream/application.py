"""The upstream protocol over HTTP."""

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from spindle_decisions.wire.headers import (
    HEADER_DRAINING,
    HEADER_LOAD,
    HEADER_NOT_RUN,
    HEADER_REQUEST_ID,
    HEADER_SNAPSHOT,
)
from spindle_devkit.upstream import const
from spindle_devkit.upstream.connection_handler import ENVIRON_HANDLER
from spindle_devkit.upstream.executor import Executor, monotonic
from spindle_devkit.upstream.refusal import Refusal
from spindle_devkit.upstream.standin_upstream import StandinUpstream
from spindle_devkit.upstream.upstream_response import UpstreamResponse
from spindle_devkit.upstream.upstream_status import UpstreamStatus

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
WsgiApplication = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]


class Application:
    """The WSGI application of one stand-in upstream.

    Requests to the control API go to `control`, also while the upstream is frozen.
    """

    def __init__(self, upstream: StandinUpstream, control: WsgiApplication) -> None:
        self.control = control
        self.upstream = upstream
        self.executor = Executor(upstream)

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Answer one request."""
        path = str(environ["PATH_INFO"])
        if path.startswith(const.PATH_STANDIN):
            return self.control(environ, start)
        self.executor.wait_while_frozen()
        handler = environ[ENVIRON_HANDLER]
        if path == const.PATH_STATUS:
            return self._write(self._status(), start, handler)
        response = self._handle(path, environ, handler)
        if response is None:
            handler.close_connection = True
            start("499 Client Closed", [])
            return []
        return self._write(response, start, handler)

    def _handle(self, path: str, environ: dict[str, Any], handler: Any) -> UpstreamResponse | None:
        if path not in (const.PATH_QUERY, const.PATH_RUN):
            return _refuse_unread("404 Not Found", "unknown-path")
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > const.MAX_BODY_BYTES:
            handler.close_connection = True
            return _refuse_unread("413 Content Too Large", "bad-request")
        body = environ["wsgi.input"].read(length)
        try:
            if path == const.PATH_RUN:
                return self.executor.run(environ, body, handler)
            return self.executor.query(environ, body, handler)
        except msgspec.DecodeError as err:
            return _refuse_unread("400 Bad Request", "bad-request", str(err))

    def _status(self) -> UpstreamResponse:
        upstream = self.upstream
        status = UpstreamStatus(
            name=upstream.settings.name,
            service=upstream.settings.service,
            snapshots=tuple(sorted(upstream.behavior.snapshots)),
            inflight=upstream.load.inflight(upstream.behavior, monotonic()),
            slots=upstream.settings.slots,
            draining=upstream.behavior.draining,
        )
        return UpstreamResponse("200 OK", msgspec.json.encode(status))

    def _write(
        self, response: UpstreamResponse, start: StartResponse, handler: Any
    ) -> Iterable[bytes]:
        self.executor.wait_while_frozen()
        start(response.status, self._headers(response))
        if not response.truncated:
            return [response.body]
        handler.close_connection = True
        return [response.body[: len(response.body) // 2]]

    def _headers(self, response: UpstreamResponse) -> list[tuple[str, str]]:
        upstream = self.upstream
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(response.body))),
            (HEADER_LOAD, upstream.load.report(upstream.behavior, monotonic())),
        ]
        if response.request_id:
            headers.append((HEADER_REQUEST_ID, response.request_id))
        if response.snapshot:
            headers.append((HEADER_SNAPSHOT, response.snapshot))
        if response.not_run:
            headers.append((HEADER_NOT_RUN, "1"))
        if upstream.behavior.draining:
            headers.append((HEADER_DRAINING, "1"))
        return headers


def _refuse_unread(status: str, code: str, text: str = "") -> UpstreamResponse:
    body = msgspec.json.encode(Refusal(code, text or code))
    return UpstreamResponse(status, body, not_run=True)
