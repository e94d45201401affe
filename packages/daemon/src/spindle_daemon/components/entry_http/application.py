"""The WSGI application for callers."""

import dataclasses
import logging
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from spindle_daemon.components.entry_http import const, headers
from spindle_daemon.components.entry_http.call_target import CallTarget, parse_call_target
from spindle_daemon.components.entry_http.query_request import QueryRequest
from spindle_daemon.components.entry_http.run_request import RunRequest
from spindle_daemon.components.serving.coordinator import ServingCoordinator
from spindle_daemon.components.serving.query_call import QueryCall
from spindle_daemon.components.serving.request_stats import RequestStats
from spindle_daemon.components.serving.run_call import RunCall
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.http_limits_handler import ENVIRON_HANDLER, LimitsHandler
from spindle_daemon.helpers.json_response import JsonResponse, json_error, json_ok
from spindle_daemon.helpers.socket_caller_connection import SocketCallerConnection
from spindle_decisions.account.query_outcome import QueryOutcome
from spindle_decisions.exceptions import (
    BadRequestError,
    LeavingError,
    OutcomeUnknownError,
    SpindleError,
)

_LOGGER = logging.getLogger(__name__)

StartResponse = Callable[..., Any]
CONNECTION_CLOSE = ("Connection", "close")
STATUS_CLIENT_CLOSED = 499

_QUERY_DECODER = msgspec.json.Decoder(QueryRequest)
_RUN_DECODER = msgspec.json.Decoder(RunRequest)


class Application:
    """Answers queries, runs, and the liveness and readiness checks over HTTP.

    `refusing` is set during a graceful shutdown: requests that arrive after that
    are refused with the code `leaving`, and their connection is closed.
    """

    def __init__(self, spindle: Spindle, coordinator: ServingCoordinator) -> None:
        self.spindle = spindle
        self.coordinator = coordinator
        self.refusing = False

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Answer one HTTP request."""
        path = str(environ["PATH_INFO"])
        if path == const.PATH_LIVE:
            return json_ok({"live": True}).send(start)
        if path == const.PATH_READY:
            return self._ready().send(start)
        handler: LimitsHandler = environ[ENVIRON_HANDLER]
        response = self._serve(path, environ, handler)
        if response is None:
            handler.close_connection = True
            start(f"{STATUS_CLIENT_CLOSED} Client Closed Request", [("Content-Length", "0")])
            return []
        if self.spindle.leaving:
            response = dataclasses.replace(response, headers=(*response.headers, CONNECTION_CLOSE))
        return response.send(start)

    def _ready(self) -> JsonResponse:
        ready = self.spindle.ready and self.coordinator.is_ready and not self.spindle.leaving
        answer = json_ok({"ready": ready})
        return answer if ready else JsonResponse(503, answer.body)

    def _serve(
        self, path: str, environ: dict[str, Any], handler: LimitsHandler
    ) -> JsonResponse | None:
        group = path.removeprefix(const.PREFIX_GROUPS).partition("/")[0]
        stats = self.coordinator.begin_request(group)
        try:
            return self._dispatch(path, environ, handler, stats)
        except OutcomeUnknownError as err:
            stats.record_finished(QueryOutcome.OUTCOME_UNKNOWN, err.code)
            return json_error(err, stats.request_id)
        except SpindleError as err:
            stats.record_finished(QueryOutcome.REFUSED, err.code)
            return json_error(err, stats.request_id)
        except Exception:
            _LOGGER.exception("entry: request %s failed", stats.request_id)
            stats.record_finished(QueryOutcome.REFUSED, SpindleError.code)
            return json_error(SpindleError("internal error"), stats.request_id)

    def _dispatch(
        self, path: str, environ: dict[str, Any], handler: LimitsHandler, stats: RequestStats
    ) -> JsonResponse | None:
        if self.refusing:
            handler.drop_body()
            raise LeavingError("this instance is stopping")
        try:
            target = parse_call_target(path)
            if environ["REQUEST_METHOD"] != const.METHOD_POST:
                raise BadRequestError(
                    f"method {environ['REQUEST_METHOD']} is not allowed, only {const.METHOD_POST}"
                )
        except BadRequestError:
            handler.drop_body()
            raise
        body = handler.read_body()
        if target.operation == const.OPERATION_QUERY:
            call = _query_call(target, body, environ)
            answer = self.coordinator.query(call, stats, SocketCallerConnection(handler.socket))
            return None if answer is None else json_ok(answer)
        return json_ok(self.coordinator.run(_run_call(target, body, environ), stats))


def _query_call(target: CallTarget, body: bytes, environ: dict[str, Any]) -> QueryCall:
    try:
        body.decode()
        request = _QUERY_DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as err:
        raise BadRequestError(f"request body: {err}") from err
    return QueryCall(
        group=target.group,
        query=request.query,
        only=target.service,
        deadline_ms=headers.deadline_ms(environ),
        min_coverage=headers.min_coverage(environ),
    )


def _run_call(target: CallTarget, body: bytes, environ: dict[str, Any]) -> RunCall:
    try:
        body.decode()
        request = _RUN_DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as err:
        raise BadRequestError(f"request body: {err}") from err
    return RunCall(
        group=target.group,
        request_id=headers.idempotency_key(environ),
        key=request.key,
        body=request.body,
        deadline_ms=headers.deadline_ms(environ),
        first_sending=headers.first_sending(environ),
    )
