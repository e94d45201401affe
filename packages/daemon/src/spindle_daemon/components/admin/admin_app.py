"""The WSGI application for operators and monitoring."""

import logging
import urllib.parse
from collections.abc import Callable, Iterable
from typing import Any

from spindle_daemon.components.admin import const
from spindle_daemon.components.admin.admin_request import AdminRequest
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.json_response import JsonResponse, json_error, json_ok
from spindle_daemon.helpers.lazy_metrics import render_metrics
from spindle_decisions.exceptions import BadRequestError, SpindleError
from spindle_decisions.wire.request_signature import verify_request

_LOGGER = logging.getLogger(__name__)

AdminHandler = Callable[[AdminRequest], JsonResponse]


class AdminApplication:
    """Routes requests; all but metrics and health checks must be signed with the shared key.

    A route that ends in `/*` gets the last part of the path as its argument.
    """

    def __init__(self, spindle: Spindle, key: bytes) -> None:
        self.spindle = spindle
        self.key = key
        self.routes: dict[tuple[str, str], AdminHandler] = {}

    def route(self, method: str, path: str, handler: AdminHandler) -> None:
        """Register a handler for a signed request."""
        self.routes[(method, path)] = handler

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one request."""
        try:
            response = self._answer(environ)
        except SpindleError as err:
            response = json_error(err)
        except Exception:
            _LOGGER.exception("admin: request failed")
            response = json_error(SpindleError("internal error"))
        return response.send(start_response)

    def _answer(self, environ: dict[str, Any]) -> JsonResponse:
        path = environ["PATH_INFO"]
        if path == const.PATH_METRICS:
            text, content_type = render_metrics()
            return JsonResponse(200, text, content_type=content_type)
        if path == const.PATH_LIVE:
            return json_ok("live")
        if path == const.PATH_READY:
            return JsonResponse(200 if self.spindle.ready else 503, b"{}")
        return self._answer_signed(environ, path)

    def _answer_signed(self, environ: dict[str, Any], path: str) -> JsonResponse:
        body = _read_body(environ)
        query = environ.get("QUERY_STRING", "")
        verify_request(
            self.key,
            environ["REQUEST_METHOD"],
            f"{path}?{query}" if query else path,
            environ.get("HTTP_X_SPINDLE_SIGNED_AT", ""),
            environ.get("HTTP_X_SPINDLE_SIGNATURE", ""),
            body,
            self.spindle.clock.wall_ms(),
        )
        parent, _, last = path.rpartition("/")
        method = environ["REQUEST_METHOD"]
        handler = self.routes.get((method, path)) or self.routes.get(
            (method, f"{parent}/{const.WILDCARD}")
        )
        if handler is None:
            raise BadRequestError(f"no such endpoint: {method} {path}")
        values = dict(urllib.parse.parse_qsl(query))
        return handler(AdminRequest(method, path, last, values, body))


def _read_body(environ: dict[str, Any]) -> bytes:
    text = environ.get("CONTENT_LENGTH") or "0"
    if not text.isdecimal() or int(text) > const.MAX_BODY_BYTES:
        raise BadRequestError(
            f"Content-Length is {text}: allowed: 0 to {const.MAX_BODY_BYTES} bytes"
        )
    body: bytes = environ["wsgi.input"].read(int(text))
    if len(body) != int(text):
        raise BadRequestError(f"body has {len(body)} bytes, Content-Length is {text}")
    return body
