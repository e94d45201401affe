"""A connection handler with TCP_NODELAY."""

from typing import Any

from gevent.pywsgi import WSGIHandler

from spindle_devkit.sockets import set_no_delay


class NoDelayHandler(WSGIHandler):
    """Serves one accepted connection with TCP_NODELAY set."""

    def __init__(self, sock: Any, address: Any, server: Any) -> None:
        set_no_delay(sock)
        super().__init__(sock, address, server)
