"""Graceful shutdown of the HTTP endpoint for callers."""

import logging

import gevent

from spindle_daemon.components.entry_http import const
from spindle_daemon.components.entry_http.application import Application
from spindle_daemon.components.serving.coordinator import ServingCoordinator
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.http_server import NoDelayServer
from spindle_decisions.util.units import MS_PER_S

_LOGGER = logging.getLogger(__name__)


class EntryShutdown:
    """Shuts the endpoint down without aborting requests in flight.

    When it starts, `spindle.leaving` is already set: the instance is not ready, and
    each connection is closed after its answer. As the load balancer still sends
    requests for a while, they are served for another `stop_lag_ms`. Later ones
    are refused with the code `leaving`. The server closes when the last request
    in flight is answered.
    """

    def __init__(
        self,
        spindle: Spindle,
        coordinator: ServingCoordinator,
        application: Application,
        server: NoDelayServer,
    ) -> None:
        self.spindle = spindle
        self.coordinator = coordinator
        self.application = application
        self.server = server

    def run(self) -> None:
        """Shut down; return when the last answer is written."""
        entry = self.spindle.settings.entry
        assert entry is not None
        _LOGGER.info("entry: shutting down, still serving for %s ms", entry.stop_lag_ms)
        gevent.sleep(entry.stop_lag_ms / MS_PER_S)
        self.application.refusing = True
        _LOGGER.info("entry: waiting for %s requests in flight", self.server.busy)
        while self.server.busy:
            gevent.sleep(const.DRAIN_POLL_INTERVAL_S)
        self.server.close()
        self.coordinator.stop()
        _LOGGER.info("entry: server closed")
