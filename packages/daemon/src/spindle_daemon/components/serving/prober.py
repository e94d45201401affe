"""Asks upstreams for their status."""

import logging
from collections.abc import Mapping

import gevent
from gevent.event import Event

from spindle_daemon.components.serving import const
from spindle_daemon.components.serving.metrics import ServingMetrics
from spindle_daemon.components.serving.send_failure import SendFailure
from spindle_daemon.components.serving.upstream_channel import UpstreamChannel
from spindle_daemon.components.serving.upstream_connection import METHOD_GET
from spindle_daemon.components.serving.upstream_news import UpstreamNews
from spindle_daemon.core.spindle import Spindle
from spindle_decisions.serving.upstream_pool import UpstreamPool
from spindle_decisions.serving.upstream_state import UpstreamState
from spindle_decisions.timeline.event_kind import EventKind

_LOGGER = logging.getLogger(__name__)

ROOM_CHECK_S = 0.005


class Prober:
    """One greenlet per upstream, each period with jitter.

    A probe counts against the share of connections: while one is due, it holds
    back one slot. What a probe says never ends an ejection, since a health
    endpoint may answer while requests fail; it only tells snapshots, load and
    drain.
    """

    def __init__(
        self,
        spindle: Spindle,
        board: UpstreamPool,
        channels: Mapping[str, UpstreamChannel],
        news: UpstreamNews,
        metrics: ServingMetrics,
    ) -> None:
        self.spindle = spindle
        self.board = board
        self.channels = channels
        self.news = news
        self.metrics = metrics
        self.greenlets: dict[str, gevent.Greenlet] = {}
        self.asked: set[str] = set()
        self.hurried: dict[str, Event] = {}

    def follow(self) -> None:
        """Probe exactly the upstreams that the board knows."""
        for name in [name for name in self.greenlets if name not in self.board.states]:
            self.greenlets.pop(name).kill(block=False)
            self.hurried.pop(name, None)
            self.asked.discard(name)
        for name in self.board.states:
            if name not in self.greenlets:
                self.greenlets[name] = gevent.spawn(self._watch, name)

    def hurry(self, name: str) -> None:
        """Ask this upstream at once, as what is known about it is out of date."""
        if name in self.hurried:
            self.hurried[name].set()

    def stop(self) -> None:
        """Stop all probes."""
        gevent.killall(list(self.greenlets.values()), block=False)
        self.greenlets.clear()

    def asked_all(self) -> bool:
        """Tell whether every upstream has been asked at least once."""
        return len(self.asked) >= len(self.board.states)

    def _watch(self, name: str) -> None:
        hurried = self.hurried.setdefault(name, Event())
        while True:
            hurried.clear()
            state = self.board.states.get(name)
            if state is not None:
                self._probe(state)
                self.asked.add(name)
            spread = 1.0 + const.PROBE_JITTER * (2.0 * self.spindle.rng.random() - 1.0)
            hurried.wait(const.PROBE_PERIOD_S * spread)

    def _probe(self, state: UpstreamState) -> None:
        state.probing = 1
        try:
            while state.in_flight >= state.connection_share:
                gevent.sleep(ROOM_CHECK_S)
            self._ask(state)
        finally:
            state.probing = 0
            self.board.grant_free_slots(state.upstream.service, self.spindle.clock.now())

    def _group_of(self, state: UpstreamState) -> str:
        service = self.board.index.services.get(state.upstream.service)
        return service.group if service else ""

    def _ask(self, state: UpstreamState) -> None:
        channel = self.channels.get(state.name)
        if channel is None:
            return
        self.metrics.probes.inc()
        self.spindle.account.record_probe(self._group_of(state))
        reply = None
        with gevent.Timeout(const.PROBE_TIMEOUT_S, False):
            reply = channel.exchange(METHOD_GET, const.PATH_STATUS, b"", {})
        now = self.spindle.clock.now()
        if reply is None or isinstance(reply, SendFailure) or reply.status != 200:
            if self.board.on_probe_failed(state, now):
                _LOGGER.info("serving: %s ejected, probes fail", state.name)
                self.spindle.timeline.add(
                    EventKind.REPLICA_EJECTED, "probes fail", upstream=state.name
                )
            return
        self.news.status(state.name, reply, now)
