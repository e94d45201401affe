"""One accepted connection of a stand-in upstream."""

from typing import Any

import gevent

from spindle_devkit.no_delay_handler import NoDelayHandler

ENVIRON_HANDLER = "spindle.handler"
_MS_PER_S = 1000.0


class ConnectionHandler(NoDelayHandler):
    """Hands itself to the application, which needs the socket of a request.

    A simulated set-up time passes before the first request is read.
    """

    def handle(self) -> None:
        """Wait for the simulated set-up, then serve the connection."""
        gevent.sleep(self.server.connect_ms / _MS_PER_S)
        super().handle()

    def get_environ(self) -> Any:
        """Return the environment with this handler in it."""
        environ = super().get_environ()
        environ[ENVIRON_HANDLER] = self
        return environ
