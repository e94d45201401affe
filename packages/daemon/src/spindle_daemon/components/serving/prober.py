"""Periodic status requests to upstreams."""

import logging
from collections.abc import Mapping

import gevent
from gevent.event import Event

from spindle_daemon.components.serving import const
from spindle_daemon.components.serving.exchange_failure import ExchangeFailure
from spindle_daemon.components.serving.metrics import ServingMetrics
from spindle_daemon.components.serving.upstream_connection import METHOD_GET
from spindle_daemon.components.serving.upstream_connection_pool import UpstreamConnectionPool
from spindle_daemon.components.serving.upstream_news import UpstreamReports
from spindle_daemon.core.spindle import Spindle
from spindle_decisions.serving.upstream_pool import UpstreamPool
from spindle_decisions.serving.upstream_state import UpstreamState
from spindle_decisions.timeline.event_kind import EventKind

_LOGGER = logging.getLogger(__name__)

CONNECTION_POLL_INTERVAL_S = 0.005


class Prober:
    """Requests the status of each upstream periodically, in one greenlet per upstream.

    The interval has jitter. A probe uses a connection of the share, so it withholds
    one slot from requests while it is due. A successful probe never ends an
    ejection, because the status endpoint may answer while requests fail; it only
    updates the snapshots, the load and the drain signal.
    """

    def __init__(
        self,
        spindle: Spindle,
        pool: UpstreamPool,
        connection_pools: Mapping[str, UpstreamConnectionPool],
        reports: UpstreamReports,
        metrics: ServingMetrics,
    ) -> None:
        self.spindle = spindle
        self.pool = pool
        self.connection_pools = connection_pools
        self.reports = reports
        self.metrics = metrics
        self.greenlets: dict[str, gevent.Greenlet] = {}
        self.probed: set[str] = set()
        self.wake_events: dict[str, Event] = {}

    def update_upstreams(self) -> None:
        """Start and stop greenlets to probe exactly the upstreams of the pool."""
        for name in [name for name in self.greenlets if name not in self.pool.states]:
            self.greenlets.pop(name).kill(block=False)
            self.wake_events.pop(name, None)
            self.probed.discard(name)
        for name in self.pool.states:
            if name not in self.greenlets:
                self.greenlets[name] = gevent.spawn(self._probe_forever, name)

    def probe_now(self, name: str) -> None:
        """Probe this upstream immediately, because its state is out of date."""
        if name in self.wake_events:
            self.wake_events[name].set()

    def stop(self) -> None:
        """Stop all probes."""
        gevent.killall(list(self.greenlets.values()), block=False)
        self.greenlets.clear()

    def has_probed_all(self) -> bool:
        """Return whether every upstream has been probed at least once."""
        return len(self.probed) >= len(self.pool.states)

    def _probe_forever(self, name: str) -> None:
        wake_event = self.wake_events.setdefault(name, Event())
        while True:
            wake_event.clear()
            state = self.pool.states.get(name)
            if state is not None:
                self._probe(state)
                self.probed.add(name)
            jitter_factor = 1.0 + const.PROBE_JITTER_RATIO * (2.0 * self.spindle.rng.random() - 1.0)
            wake_event.wait(const.PROBE_INTERVAL_S * jitter_factor)

    def _probe(self, state: UpstreamState) -> None:
        state.probing = 1
        try:
            while state.in_flight >= state.connection_share:
                gevent.sleep(CONNECTION_POLL_INTERVAL_S)
            self._request_status(state)
        finally:
            state.probing = 0
            self.pool.grant_free_slots(state.upstream.service, self.spindle.clock.now())

    def _group_name(self, state: UpstreamState) -> str:
        service = self.pool.index.services.get(state.upstream.service)
        return service.group if service else ""

    def _request_status(self, state: UpstreamState) -> None:
        connection_pool = self.connection_pools.get(state.name)
        if connection_pool is None:
            return
        self.metrics.probes.inc()
        self.spindle.account.record_probe(self._group_name(state))
        reply = None
        with gevent.Timeout(const.PROBE_TIMEOUT_S, False):
            reply = connection_pool.exchange(METHOD_GET, const.PATH_STATUS, b"", {})
        now = self.spindle.clock.now()
        if reply is None or isinstance(reply, ExchangeFailure) or reply.status != 200:
            if self.pool.on_probe_failed(state, now):
                _LOGGER.info("serving: upstream %s ejected, status requests fail", state.name)
                self.spindle.timeline.add(
                    EventKind.REPLICA_EJECTED, "probes fail", upstream=state.name
                )
            return
        self.reports.on_status(state.name, reply, now)
