"""The planned stop of the endpoint for callers."""

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
    """Unready at once, then serve on, then refuse, then finish, then close.

    `spindle.leaving` already makes the instance unready and closes each
    connection after its answer. The balancer goes on sending for a while, so
    requests are served for `stop_lag_ms` more. Those that arrive later are
    refused with the code `leaving`. Nothing in flight is cut off.
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
        """Stop; returns when the last answer is written."""
        entry = self.spindle.settings.entry
        assert entry is not None
        _LOGGER.info("entry: leaving, serving on for %s ms", entry.stop_lag_ms)
        gevent.sleep(entry.stop_lag_ms / MS_PER_S)
        self.application.refusing = True
        _LOGGER.info("entry: finishing %s requests", self.server.busy)
        while self.server.busy:
            gevent.sleep(const.DRAIN_POLL_INTERVAL_S)
        self.server.close()
        self.coordinator.stop()
        _LOGGER.info("entry: closed")
