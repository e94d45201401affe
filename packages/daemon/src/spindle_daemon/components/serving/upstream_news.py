"""Load, drain and snapshot reports in the answers of upstreams."""

import logging

import msgspec

from spindle_daemon.components.serving.upstream_reply import UpstreamReply
from spindle_daemon.components.serving.upstream_status import UpstreamStatus
from spindle_daemon.core.timeline_sink import TimelineSink
from spindle_decisions.exceptions import BadRequestError
from spindle_decisions.serving.snapshot_id import parse_snapshot_id
from spindle_decisions.serving.upstream_pool import UpstreamPool
from spindle_decisions.timeline.event_kind import EventKind

_LOGGER = logging.getLogger(__name__)

_STATUS_DECODER = msgspec.json.Decoder(UpstreamStatus)


class UpstreamReports:
    """Passes reported load, drain signals and snapshots to the upstream pool."""

    def __init__(self, pool: UpstreamPool, timeline: TimelineSink) -> None:
        self.pool = pool
        self.timeline = timeline

    def on_headers(self, name: str, reply: UpstreamReply, now: float) -> None:
        """Apply the load and drain headers of an answer."""
        state = self.pool.states.get(name)
        if state is None:
            return
        inflight, separator, slots = reply.load.partition("/")
        if separator and inflight.isdecimal() and slots.isdecimal():
            state.load.report(int(inflight), int(slots), now)
        if reply.draining or state.drain.draining:
            self._update_drain(name, reply.draining, "header", now)

    def on_status(self, name: str, reply: UpstreamReply, now: float) -> bool:
        """Apply the answer to a status request; return false if it is invalid."""
        state = self.pool.states.get(name)
        if state is None:
            return False
        try:
            status = _STATUS_DECODER.decode(reply.body)
            snapshots = frozenset(parse_snapshot_id(text) for text in status.snapshots)
        except (msgspec.MsgspecError, BadRequestError) as err:
            _LOGGER.warning("serving: status of upstream %s is malformed: %s", name, err)
            return False
        if status.service != state.upstream.service:
            _LOGGER.warning(
                "serving: upstream %s reports service %s, expected %s",
                name,
                status.service,
                state.upstream.service,
            )
            return False
        self.pool.update_snapshots(state, snapshots)
        state.load.report(status.inflight, status.slots, now)
        self._update_drain(name, status.draining, "status", now)
        return True

    def _update_drain(self, name: str, draining: bool, source: str, now: float) -> None:
        state = self.pool.states[name]
        if self.pool.on_drain_reported(state, draining, now):
            self.timeline.add(EventKind.DRAIN_SEEN, f"told by {source}", upstream=name)
            _LOGGER.info("serving: upstream %s drains, reported by %s", name, source)
