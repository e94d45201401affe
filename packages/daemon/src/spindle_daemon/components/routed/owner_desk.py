"""Sub-requests between the owners of shards."""

import itertools
import logging
from collections.abc import Callable

import gevent
import msgspec

from spindle_daemon.components.routed.attempt_pool import AttemptPool
from spindle_daemon.components.routed.gather_runner import GatherRunner
from spindle_daemon.components.routed.open_requests import OpenRequests
from spindle_daemon.components.routed.owner_prober import OwnerProber
from spindle_daemon.components.routed.request_trace import RequestTrace
from spindle_daemon.components.routed.routed_request import RoutedRequest
from spindle_daemon.components.routed.upstream_client import UpstreamClient
from spindle_daemon.core.spindle import Spindle
from spindle_decisions.routing.owner_liveness import OwnerLiveness
from spindle_decisions.routing.owner_response import OwnerResponse
from spindle_decisions.routing.route import Route
from spindle_decisions.routing.routing_state import RoutingState
from spindle_decisions.util.units import MS_PER_S
from spindle_decisions.wire.fleet_instance import FleetInstance
from spindle_decisions.wire.spread_cancel import SpreadCancel
from spindle_decisions.wire.spread_question import SpreadQuestion
from spindle_decisions.wire.spread_reply import SpreadReply

_LOGGER = logging.getLogger(__name__)

ReplyListener = Callable[[SpreadReply], None]

# Two lives of a process practically never number a sub-request alike.
SEQ_BITS = 62


class OwnerRpc:
    """Answers sub-requests for shards owned here, and sends sub-requests to other owners.

    Owners that do not respond are not asked until they answer a probe of `OwnerProber`.
    A request for which `is_blocked` is true, because it crashes upstreams, is answered
    without any part. So is every new one while `refusing` is set, late in a graceful shutdown.

    Owners go on working for a process that was killed, and their late replies reach the one
    that starts at its address. So the numbers of sub-requests begin at random in each life,
    and only the owner that was asked may answer one.
    """

    def __init__(
        self,
        spindle: Spindle,
        upstream_client: UpstreamClient,
        routing_state: RoutingState,
        peers: Callable[[], tuple[FleetInstance, ...]],
        is_blocked: Callable[[RoutedRequest], bool],
        open_requests: OpenRequests,
    ) -> None:
        self.spindle = spindle
        self.upstream_client = upstream_client
        self.routing_state = routing_state
        self.name = spindle.settings.instance.name
        self.sequence = itertools.count(spindle.rng.getrandbits(SEQ_BITS))
        # By number: the name of the owner that was asked, and the listener.
        self.pending: dict[int, tuple[str, ReplyListener]] = {}
        # Sub-requests of other instances by reply address and number.
        self.active: dict[tuple[str, int], GatherRunner] = {}
        self.peers = peers
        self.is_blocked = is_blocked
        self.open_requests = open_requests
        self.refusing = False
        self.liveness = OwnerLiveness(self.name)
        self.prober = OwnerProber(spindle, self.liveness, peers, self.query_owner)
        spindle.transport.register_handler(SpreadQuestion, self._on_question)
        spindle.transport.register_handler(SpreadReply, self._on_reply)
        spindle.transport.register_handler(SpreadCancel, self._on_cancel)

    def usable_owners(self) -> tuple[FleetInstance, ...]:
        """Return the peers that are not suspected; this instance is always included."""
        return self.liveness.usable(self.peers())

    def record_timeout(self, name: str) -> None:
        """Suspect an owner that did not respond in time."""
        self.prober.suspect(name, self.name)

    def query_owner(
        self, owner: FleetInstance, question: SpreadQuestion, listener: ReplyListener
    ) -> Callable[[], None]:
        """Send a sub-request to an owner, which may be this instance.

        The listener gets the replies that arrive in time. Calling what this returns tells
        the owner that no more of them are needed.
        """
        question = msgspec.structs.replace(question, seq=next(self.sequence))
        if owner.name == self.name:
            self._gather(question, listener)
            return lambda: self._on_cancel("", SpreadCancel(question.seq, question.reply_to))
        is_finished = False

        def on_reply(reply: SpreadReply) -> None:
            nonlocal is_finished
            is_finished = not reply.more
            listener(reply)

        self.pending[question.seq] = (owner.name, on_reply)
        self.spindle.transport.send(owner.address, question)
        gevent.spawn_later(question.left_ms / MS_PER_S, self.pending.pop, question.seq, None)

        def cancel() -> None:
            self.pending.pop(question.seq, None)
            if not is_finished:
                message = SpreadCancel(question.seq, question.reply_to)
                self.spindle.transport.send(owner.address, message)

        return cancel

    def _on_reply(self, _sender: str, reply: SpreadReply) -> None:
        if self.liveness.record_reply(reply.owner):
            fields = {"event": "owner-back", "peer": reply.owner}
            _LOGGER.info("routed: owner-back", extra=fields)
        owner, listener = self.pending.get(reply.seq, ("", None))
        if listener is None or owner != reply.owner:
            return
        if not reply.more:
            del self.pending[reply.seq]
        listener(reply)

    def _on_cancel(self, _sender: str, cancel: SpreadCancel) -> None:
        runner = self.active.get((cancel.reply_to, cancel.seq))
        if runner is not None:
            runner.stop()

    def _on_question(self, _sender: str, question: SpreadQuestion) -> None:
        def reply(message: SpreadReply) -> None:
            self.spindle.transport.send(question.reply_to, message)

        self._gather(question, reply)

    def _gather(self, question: SpreadQuestion, reply: ReplyListener) -> None:
        """Start a sub-request; `_on_cancel` may end it even before its greenlet has run."""
        if self.refusing and not question.shards:
            # A probe: this instance shall not be asked any more.
            return
        deadline_s = question.left_ms / MS_PER_S
        request = RoutedRequest(question.request, deadline_s, self.spindle.clock.now())
        if not question.shards or self.refusing or self.is_blocked(request):
            reply(SpreadReply(question.seq, self.name, (), b"", 0))
            return
        trace = RequestTrace()
        attempt_pool = AttemptPool(self.spindle.clock, self.upstream_client, request, trace)
        route = sub_route(question)
        runner = GatherRunner(attempt_pool, self.routing_state, route, is_for_owner=True)
        told_attempts = 0

        def respond(response: OwnerResponse) -> None:
            nonlocal told_attempts
            attempts = trace.attempt_count - told_attempts
            told_attempts = trace.attempt_count
            reply(
                SpreadReply(
                    question.seq,
                    self.name,
                    response.signatures,
                    response.records,
                    attempts,
                    response.more,
                    response.number,
                )
            )

        key = (question.reply_to, question.seq)
        self.active[key] = runner
        self.open_requests.add(runner)

        def on_finished(_greenlet: gevent.Greenlet) -> None:
            self.active.pop(key, None)
            self.open_requests.discard(runner)

        gevent.spawn(runner.run_for_owner, respond).rawlink(on_finished)


def sub_route(question: SpreadQuestion) -> Route:
    """Return the route for the shards of a sub-request.

    Its `least_share` is 0: it may end with any number of parts.
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
