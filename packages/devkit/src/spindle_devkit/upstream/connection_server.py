"""The HTTP server of a stand-in upstream."""

from typing import Any

from gevent.pywsgi import WSGIServer

from spindle_devkit.sockets import reset
from spindle_devkit.upstream.application import Application, WsgiApplication
from spindle_devkit.upstream.connection_handler import ConnectionHandler
from spindle_devkit.upstream.standin_upstream import StandinUpstream


class ConnectionServer(WSGIServer):
    """A WSGI server that resets connections over the connection limit of its upstream."""

    def __init__(self, upstream: StandinUpstream, port: int, control: WsgiApplication) -> None:
        settings = upstream.settings
        super().__init__(
            (settings.listen.host, port),
            Application(upstream, control),
            log=None,
            handler_class=ConnectionHandler,
        )
        self.upstream = upstream
        self.connect_ms = settings.connect_ms

    def handle(self, sock: Any, address: Any) -> None:
        """Serve one connection, or reset it if the connection limit is reached."""
        counters = self.upstream.counters
        if counters.connections >= self.upstream.settings.connections:
            counters.connections_refused += 1
            reset(sock)
            return
        counters.connections += 1
        counters.connections_opened += 1
        counters.connections_max = max(counters.connections_max, counters.connections)
        self.upstream.sockets.add(sock)
        try:
            super().handle(sock, address)
        finally:
            self.upstream.sockets.discard(sock)
            counters.connections -= 1
