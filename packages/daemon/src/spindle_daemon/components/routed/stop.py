"""Graceful shutdown of an instance that serves routes."""

import logging

import gevent

from spindle_daemon.components.routed import const
from spindle_daemon.components.routed.application import RoutedApplication
from spindle_daemon.components.routed.coordinator import RoutedCoordinator
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.http_server import NoDelayServer
from spindle_decisions.util.units import MS_PER_S

_LOGGER = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.05
# Time in which requests may still arrive on connections accepted just before the server closed.
LAST_REQUESTS_S = 0.3


class RoutedShutdown:
    """Serves new requests while the load balancer may send some, then finishes those in flight.

    The instance is not ready from the start of the shutdown. Every request that it took is
    answered: shortly before the stop time is over with what is there, or a refusal. When it
    takes no more requests it tells the others, which then ask it for no more shards, and it
    finishes what they have asked.
    """

    def __init__(
        self,
        spindle: Spindle,
        application: RoutedApplication,
        coordinator: RoutedCoordinator,
        server: NoDelayServer,
        stop_ms: int,
    ) -> None:
        self.spindle = spindle
        self.application = application
        self.coordinator = coordinator
        self.server = server
        self.stop_s = stop_ms / MS_PER_S - const.SHUTDOWN_MARGIN_S

    def run(self) -> None:
        """Shut down; returns when the last answer is written or the time is over."""
        clock = self.spindle.clock
        started = clock.now()
        self.coordinator.open_requests.end_by(started + self.stop_s - const.LAST_ANSWERS_S)
        gevent.sleep(min(const.SHUTDOWN_DELAY_S, self.stop_s))
        self.application.refusing = True
        self.server.close()
        self.coordinator.fleet.send_leave()
        closed = clock.now()
        while clock.now() - started < self.stop_s:
            gevent.sleep(POLL_INTERVAL_S)
            if self.server.busy or clock.now() - closed <= LAST_REQUESTS_S:
                continue
            self.coordinator.owner_rpc.refusing = True
            if not self.coordinator.owner_rpc.active:
                break
        _LOGGER.info(
            "routed: closed with %s requests open",
            self.server.busy,
            extra={"event": "closed", "open": self.server.busy},
        )
