"""Probes of the owners of shards that did not respond."""

import logging
from collections.abc import Callable

import gevent

from spindle_daemon.core.spindle import Spindle
from spindle_decisions.routing.const import OWNER_PROBE_MAX_PAUSE_S
from spindle_decisions.routing.owner_liveness import OwnerLiveness
from spindle_decisions.util.units import MS_PER_S
from spindle_decisions.wire.caller_request import CallerRequest
from spindle_decisions.wire.fleet_instance import FleetInstance
from spindle_decisions.wire.owner_suspicion import OwnerSuspicion
from spindle_decisions.wire.spread_question import SpreadQuestion
from spindle_decisions.wire.spread_reply import SpreadReply

_LOGGER = logging.getLogger(__name__)

# Sends a sub-request to an owner; the second argument gets the reply.
QueryOwner = Callable[[FleetInstance, SpreadQuestion, Callable[[SpreadReply], None]], object]


class OwnerProber:
    """Probes suspected owners, and reports the silent ones to the peers.

    A probe is a sub-request without shards, which is answered at once; its reply makes
    the owner usable again. An owner that answers none for a while is reported, so that
    few requests are spent on it; each peer probes it itself.
    """

    def __init__(
        self,
        spindle: Spindle,
        liveness: OwnerLiveness,
        peers: Callable[[], tuple[FleetInstance, ...]],
        query_owner: QueryOwner,
    ) -> None:
        self.spindle = spindle
        self.liveness = liveness
        self.peers = peers
        self.query_owner = query_owner
        self.name = spindle.settings.instance.name
        # By the name of a suspected owner: the instance that noticed first.
        self.reporters: dict[str, str] = {}
        self.is_probing = False
        spindle.transport.register_handler(OwnerSuspicion, self._on_suspicion)

    def _on_suspicion(self, sender: str, suspicion: OwnerSuspicion) -> None:
        self.suspect(suspicion.owner, sender)

    def suspect(self, name: str, reporter: str) -> None:
        """Suspect an owner, as `reporter` noticed, and start to probe it."""
        if not self.liveness.suspect(name, self.spindle.clock.now()):
            return
        self.reporters[name] = reporter
        if not self.is_probing:
            self.is_probing = True
            gevent.spawn(self._probe_suspected)

    def _probe_suspected(self) -> None:
        """Probe the suspected owners until none is left."""
        while (next_at := self.liveness.next_probe_at()) is not None:
            gevent.sleep(max(0.0, next_at - self.spindle.clock.now()))
            try:
                self._probe_due()
            except Exception:
                # The others are probed again: without that they would never be asked.
                _LOGGER.exception("routed: probe of owners failed")
                gevent.sleep(OWNER_PROBE_MAX_PAUSE_S)
        self.is_probing = False

    def _probe_due(self) -> None:
        peers = {peer.name: peer for peer in self.peers()}
        self.liveness.retain(peers)
        now = self.spindle.clock.now()
        due = self.liveness.due_probes(now)
        for name in self.liveness.newly_silent(now):
            self._on_silent(name)
        for name in due:
            self.query_owner(peers[name], self._probe_question(), lambda _reply: None)

    def _on_silent(self, name: str) -> None:
        """Log that an owner is silent, and report it to the peers if that is an own finding."""
        reporter = self.reporters[name]
        fields = {"event": "owner-silent", "peer": name, "reporter": reporter}
        _LOGGER.info("routed: owner-silent", extra=fields)
        if reporter != self.name:
            return
        report = OwnerSuspicion(name)
        for peer in self.peers():
            if peer.name not in (self.name, name):
                self.spindle.transport.send(peer.address, report)

    def _probe_question(self) -> SpreadQuestion:
        request = CallerRequest(
            method="", target="", host="", headers=(), body=b"", has_body=False, request_id=""
        )
        return SpreadQuestion(
            seq=0,
            reply_to=self.spindle.settings.mesh.advertise,
            shards=(),
            top_records=0,
            route="",
            max_attempts=0,
            aim_left_ms=1,
            left_ms=int(OWNER_PROBE_MAX_PAUSE_S * MS_PER_S),
            request=request,
        )
