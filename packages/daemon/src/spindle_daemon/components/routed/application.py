"""HTTP protocol for callers of routes."""

import logging
import urllib.parse
from collections.abc import Callable, Iterable
from typing import Any

from spindle_daemon.components.routed import const
from spindle_daemon.components.routed.coordinator import RoutedCoordinator
from spindle_daemon.components.routed.headers import end_to_end_headers
from spindle_daemon.components.routed.request_log import RoutedRequestLog
from spindle_daemon.components.routed.request_trace import RequestTrace
from spindle_daemon.components.routed.routed_request import RoutedRequest
from spindle_daemon.components.routed.routed_response import RoutedResponse
from spindle_daemon.core.platform_adapter import HeaderNames
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.http_limits_handler import ENVIRON_HANDLER, LimitsHandler
from spindle_daemon.helpers.json_response import json_error
from spindle_daemon.helpers.socket_caller_connection import SocketCallerConnection
from spindle_decisions.exceptions import (
    LeavingError,
    NoPlanError,
    OverloadedError,
    QuarantinedError,
    SpindleError,
)
from spindle_decisions.util.units import MS_PER_S
from spindle_decisions.wire.caller_request import CallerRequest

_LOGGER = logging.getLogger(__name__)

StartResponse = Callable[..., Any]
CONNECTION_CLOSE = ("Connection", "close")
STATUS_CLIENT_CLOSED = 499
STATUS_NOT_RUN = 503
_HOST = "host"


class RoutedApplication:
    """Passes on requests with their end-to-end headers, and writes each answer as a whole.

    `refusing` is set late in a graceful shutdown: requests that still arrive are
    refused and their connection is closed.
    """

    def __init__(
        self,
        spindle: Spindle,
        coordinator: RoutedCoordinator,
        header_names: HeaderNames,
        log: RoutedRequestLog,
    ) -> None:
        self.spindle = spindle
        self.coordinator = coordinator
        self.header_names = header_names
        self.log = log
        self.refusing = False

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Answer one request."""
        handler: LimitsHandler = environ[ENVIRON_HANDLER]
        answer = self._answer(handler)
        if answer is None:
            handler.close_connection = True
            start(f"{STATUS_CLIENT_CLOSED} Client Closed Request", [("Content-Length", "0")])
            return []
        headers = list(answer.headers)
        if self.spindle.leaving or self.coordinator.is_isolated():
            headers.append(CONNECTION_CLOSE)
        start(f"{answer.status} {answer.reason}".rstrip(), headers)
        return [answer.body]

    def _answer(self, handler: LimitsHandler) -> RoutedResponse | None:
        arrived_at = self.spindle.clock.now()
        trace = RequestTrace()
        request_id = handler.headers.get(self.header_names.request_id, "")
        try:
            if self.refusing:
                handler.drop_body()
                raise LeavingError("this instance is stopping")
            request = self._request(handler, arrived_at, request_id)
            answer = self.coordinator.serve(request, SocketCallerConnection(handler.socket), trace)
        except SpindleError as err:
            answer = self._refusal(err, request_id)
            self.log.log_refusal(request_id, arrived_at, trace, err)
            return answer
        except Exception:
            _LOGGER.exception("routed: request %s failed", request_id[:64])
            return self._refusal(SpindleError("internal error"), request_id)
        if answer is None:
            self.log.log_disconnect(request_id, arrived_at, trace)
        else:
            self.log.log_answer(request_id, arrived_at, trace, answer.status)
        return answer

    def _request(self, handler: LimitsHandler, arrived_at: float, request_id: str) -> RoutedRequest:
        body = handler.read_body()
        pairs = tuple(handler.headers.items())
        dropped = frozenset(
            (_HOST, self.header_names.deadline_ms, self.header_names.expect_upstream, "expect")
        )
        target = handler.path
        host = handler.headers.get(_HOST, "")
        if "://" in target.partition("?")[0]:
            parts = urllib.parse.urlsplit(target)
            host = parts.netloc
            target = (parts.path or "/") + (f"?{parts.query}" if parts.query else "")
        chunked = "chunked" in handler.headers.get("transfer-encoding", "").lower()
        caller_request = CallerRequest(
            method=handler.command,
            target=target,
            host=host,
            headers=end_to_end_headers(pairs, dropped),
            body=body,
            has_body=chunked or handler.content_length is not None,
            request_id=request_id,
        )
        deadline_s = _deadline_s(handler.headers.get(self.header_names.deadline_ms, ""))
        return RoutedRequest(caller_request, deadline_s, arrived_at)

    def _refusal(self, err: SpindleError, request_id: str) -> RoutedResponse:
        response = json_error(err, request_id)
        headers = [("Content-Type", response.content_type), *response.headers]
        if err.http_status == STATUS_NOT_RUN:
            wait_s = const.RETRY_AFTER_S
            if isinstance(err, NoPlanError):
                wait_s = const.RETRY_AFTER_STARTING_S
            elif isinstance(err, QuarantinedError):
                wait_s = err.retry_after_s
            elif isinstance(err, OverloadedError):
                wait_s = max(wait_s, err.retry_after_s)
            headers.append((self.header_names.retry_after, f"{wait_s:.2f}"))
        return RoutedResponse(err.http_status, err.code, tuple(headers), response.body)


def _deadline_s(text: str) -> float:
    if not text.isascii() or not text.strip().isdecimal():
        return const.DEFAULT_DEADLINE_S
    return min(const.DEFAULT_DEADLINE_S, int(text) / MS_PER_S)
