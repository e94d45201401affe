"""Sub-requests between the owners of shards."""

import logging
from collections.abc import Callable

import gevent
import msgspec

from spindle_daemon.components.routed.attempt_pool import AttemptPool
from spindle_daemon.components.routed.gather_runner import GatherRunner
from spindle_daemon.components.routed.request_trace import RequestTrace
from spindle_daemon.components.routed.routed_request import RoutedRequest
from spindle_daemon.components.routed.upstream_client import UpstreamClient
from spindle_daemon.core.spindle import Spindle
from spindle_decisions.routing.const import OWNER_BACKOFF_S
from spindle_decisions.routing.route import Route
from spindle_decisions.routing.routing_state import RoutingState
from spindle_decisions.routing.upstream_attempt import next_attempt_id
from spindle_decisions.util.units import MS_PER_S
from spindle_decisions.wire.fleet_instance import FleetInstance
from spindle_decisions.wire.spread_question import SpreadQuestion
from spindle_decisions.wire.spread_reply import SpreadReply

_LOGGER = logging.getLogger(__name__)

ReplyListener = Callable[[SpreadReply], None]


class OwnerRpc:
    """Answers sub-requests for shards owned here, and sends sub-requests to other owners."""

    def __init__(
        self, spindle: Spindle, upstream_client: UpstreamClient, routing_state: RoutingState
    ) -> None:
        self.spindle = spindle
        self.upstream_client = upstream_client
        self.routing_state = routing_state
        self.name = spindle.settings.instance.name
        self.pending: dict[int, ReplyListener] = {}
        self.backoff_until: dict[str, float] = {}
        spindle.transport.register_handler(SpreadQuestion, self._on_question)
        spindle.transport.register_handler(SpreadReply, self._on_reply)

    def usable_owners(self, peers: tuple[FleetInstance, ...]) -> tuple[FleetInstance, ...]:
        """Return the peers without a recent timeout; this instance is always included."""
        now = self.spindle.clock.now()
        return tuple(
            peer
            for peer in peers
            if peer.name == self.name or now >= self.backoff_until.get(peer.name, 0.0)
        )

    def record_timeout(self, name: str) -> None:
        """Exclude an owner that did not respond, for the next `OWNER_BACKOFF_S`."""
        if name == self.name:
            return
        self.backoff_until[name] = self.spindle.clock.now() + OWNER_BACKOFF_S
        _LOGGER.info("routed: owner-silent", extra={"event": "owner-silent", "peer": name})

    def query_owner(
        self, owner: FleetInstance, question: SpreadQuestion, listener: ReplyListener
    ) -> None:
        """Send a sub-request to an owner, which may be this instance.

        The listener gets the reply, if one arrives in time.
        """
        if owner.name == self.name:
            gevent.spawn(lambda: listener(self._gather(question)))
            return
        seq = next_attempt_id()
        self.pending[seq] = listener
        self.spindle.transport.send(owner.address, msgspec.structs.replace(question, seq=seq))
        gevent.spawn_later(question.left_ms / MS_PER_S, self.pending.pop, seq, None)

    def _on_reply(self, _sender: str, reply: SpreadReply) -> None:
        listener = self.pending.pop(reply.seq, None)
        if listener is not None:
            self.backoff_until.pop(reply.owner, None)
            listener(reply)

    def _on_question(self, _sender: str, question: SpreadQuestion) -> None:
        gevent.spawn(self._answer, question)

    def _answer(self, question: SpreadQuestion) -> None:
        self.spindle.transport.send(question.reply_to, self._gather(question))

    def _gather(self, question: SpreadQuestion) -> SpreadReply:
        trace = RequestTrace()
        deadline_s = question.left_ms / MS_PER_S
        request = RoutedRequest(question.request, deadline_s, self.spindle.clock.now())
        attempt_pool = AttemptPool(self.spindle.clock, self.upstream_client, request, trace)
        part = GatherRunner(attempt_pool, self.routing_state, sub_route(question)).run_for_owner()
        return SpreadReply(
            question.seq, self.name, part.signatures, part.records, trace.attempt_count
        )


def sub_route(question: SpreadQuestion) -> Route:
    """Return the route for the shards of a sub-request.

    Its `least_share` is 0: at the aim it ends with the parts that have arrived.
    """
    return Route(
        name=question.route,
        host=question.request.host,
        prefix="/",
        idempotent=True,
        timeout_ms=question.left_ms,
        aim_ms=max(1, question.aim_left_ms),
        max_attempts=question.max_attempts,
        shards=question.shards,
        top_records=question.top_records,
        least_share=0.0,
    )
