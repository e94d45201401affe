"""WSGI handler that enforces limits on callers."""

import logging
from typing import Any

import gevent
from gevent.pywsgi import Input

from spindle_daemon.helpers.http_limits import HttpLimits
from spindle_daemon.helpers.http_server import NoAccessLogHandler
from spindle_daemon.helpers.json_response import json_error
from spindle_decisions.exceptions import BadRequestError, OverloadedError, SpindleError

_LOGGER = logging.getLogger(__name__)

ENVIRON_HANDLER = "spindle.handler"
REQUEST_TIMEOUT = "408 Request Timeout"
BAD_REQUEST = "400 Bad Request"
UNAVAILABLE = "503 Service Unavailable"


class LimitsHandler(NoAccessLogHandler):
    """Enforces timeouts, body size and connection count; refuses with error codes.

    The server holds the limits in `limits` and the number of open connections in
    `callers`. The application finds the handler in its environment under
    `ENVIRON_HANDLER` and reads the body through `read_body`.
    """

    header_timer: gevent.Timeout | None = None
    counted_busy = False

    @property
    def limits(self) -> HttpLimits:
        """The limits of the server."""
        limits: HttpLimits = self.server.limits
        return limits

    def handle(self) -> None:
        """Serve one connection, or refuse it when too many are open."""
        self.socket.settimeout(self.limits.idle_timeout_s)
        self.server.callers += 1
        try:
            if self.server.callers > self.limits.max_callers:
                self._refuse_connection()
            super().handle()
        finally:
            self.server.callers -= 1

    def handle_one_request(self) -> Any:
        """Answer one request; the server counts it as busy from its first byte."""
        try:
            return super().handle_one_request()
        finally:
            if self.counted_busy:
                self.counted_busy = False
                self.server.busy -= 1

    def read_requestline(self) -> str:
        """Wait for a request, then start the timeout of its head."""
        if self.rfile.peek(1):
            self.counted_busy = True
            self.server.busy += 1
        self.header_timer = gevent.Timeout.start_new(
            self.limits.header_timeout_s, TimeoutError("request head took too long")
        )
        try:
            line: str = super().read_requestline()
        except TimeoutError:
            self._stop_header_timer()
            self.socket.sendall(
                _refusal_bytes(
                    REQUEST_TIMEOUT,
                    f"request head took longer than {self.limits.header_timeout_s} s",
                )
            )
            raise ConnectionAbortedError from None
        except BaseException:
            self._stop_header_timer()
            raise
        if not line:
            self._stop_header_timer()
        return line

    def read_request(self, raw_requestline: str) -> bool:
        """Read the rest of the head within its timeout."""
        try:
            return bool(super().read_request(raw_requestline))
        finally:
            self._stop_header_timer()

    def get_environ(self) -> Any:
        """Return the environment with this handler in it."""
        environ = super().get_environ()
        environ[ENVIRON_HANDLER] = self
        return environ

    def read_body(self) -> bytes:
        """Read the whole body; raise `BadRequestError` when it is too long or too slow."""
        limits = self.limits
        if (self.content_length or 0) > limits.max_body_bytes:
            raise self._reject_body(f"body is over {limits.max_body_bytes} bytes")
        try:
            with gevent.Timeout(limits.body_timeout_s, TimeoutError("body takes too long")):
                body: bytes = self.wsgi_input.read(limits.max_body_bytes + 1)
        except TimeoutError:
            raise self._reject_body("body takes too long") from None
        except OSError:
            raise self._reject_body("body ends early or is malformed") from None
        if len(body) > limits.max_body_bytes:
            raise self._reject_body(f"body is over {limits.max_body_bytes} bytes")
        return body

    def drop_body(self) -> None:
        """Leave the rest of the body unread and close the connection after the answer."""
        self.close_connection = True
        self.wsgi_input = Input(self.rfile, 0)

    def _reject_body(self, text: str) -> BadRequestError:
        self.drop_body()
        return BadRequestError(text)

    def _stop_header_timer(self) -> None:
        if self.header_timer is not None:
            self.header_timer.close()
            self.header_timer = None

    def _refuse_connection(self) -> None:
        self.socket.sendall(
            _refusal_bytes(
                UNAVAILABLE,
                f"too many open connections, limit {self.limits.max_callers}",
                OverloadedError,
            )
        )
        self.rfile.close()

    def _handle_client_error(self, ex: BaseException) -> tuple[str, bytes]:
        if isinstance(ex, TimeoutError):
            return REQUEST_TIMEOUT, _refusal_bytes(
                REQUEST_TIMEOUT, f"request head took longer than {self.limits.header_timeout_s} s"
            )
        _LOGGER.info("http: malformed request: %s", ex)
        return BAD_REQUEST, _refusal_bytes(BAD_REQUEST, "malformed request")


def _refusal_bytes(
    status: str, text: str, error_type: type[SpindleError] = BadRequestError
) -> bytes:
    answer = json_error(error_type(text))
    lines = [
        f"HTTP/1.1 {status}",
        f"Content-Type: {answer.content_type}",
        f"Content-Length: {len(answer.body)}",
        "Connection: close",
        *(f"{name}: {value}" for name, value in answer.headers),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + answer.body
