"""WSGI server that sends answers without Nagle's delay."""

import logging
import socket
from collections.abc import Callable, Iterable
from typing import Any

from gevent.pywsgi import WSGIHandler, WSGIServer

from spindle_daemon.helpers.http_limits import HttpLimits
from spindle_daemon.settings.endpoint import Endpoint

_LOGGER = logging.getLogger(__name__)

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]
BACKLOG = 1024


class NoAccessLogHandler(WSGIHandler):
    """A handler that leaves access logging to the application."""

    def log_request(self) -> None:
        """Write nothing."""


class NoDelayServer(WSGIServer):
    """A server that disables Nagle's algorithm on accepted sockets.

    Head and body of an answer are sent in two writes; with Nagle's algorithm the
    second waits for the delayed acknowledgement of the first, about 40 ms.

    `LimitsHandler` uses `limits` and `callers`; `busy` counts the requests in
    progress, which a graceful shutdown waits for.
    """

    limits: HttpLimits
    callers = 0
    busy = 0

    def do_read(self) -> Any:
        """Accept a connection."""
        accepted = super().do_read()
        if accepted is not None:
            accepted[0].setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return accepted


def create_http_server(
    listen: Endpoint, app: WsgiApp, handler_class: type[WSGIHandler] = NoAccessLogHandler
) -> NoDelayServer:
    """Create a server without starting it."""
    return NoDelayServer(
        (listen.host, listen.port),
        app,
        handler_class=handler_class,
        log=None,
        error_log=_LOGGER,
        backlog=BACKLOG,
    )
