"""The handler of an accepted connection of a stand-in upstream."""

from typing import Any

import gevent

from spindle_devkit.no_delay_handler import NoDelayHandler

ENVIRON_HANDLER = "spindle.handler"
_MS_PER_S = 1000.0


class ConnectionHandler(NoDelayHandler):
    """Passes itself to the application, which needs the socket of a request.

    It waits for the simulated connection set-up time before the first request.
    """

    def handle(self) -> None:
        """Wait for the simulated set-up time, then serve the connection."""
        gevent.sleep(self.server.connect_ms / _MS_PER_S)
        super().handle()

    def get_environ(self) -> Any:
        """Return the WSGI environment, extended by this handler."""
        environ = super().get_environ()
        environ[ENVIRON_HANDLER] = self
        return environ
