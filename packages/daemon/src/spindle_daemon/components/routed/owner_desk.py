"""Questions between the owners of shards."""

import logging
from collections.abc import Callable

import gevent
import msgspec

from spindle_daemon.components.routed.gather_runner import GatherRunner
from spindle_daemon.components.routed.routed_request import RoutedRequest
from spindle_daemon.components.routed.run_record import RunRecord
from spindle_daemon.components.routed.send_crew import SendCrew
from spindle_daemon.components.routed.sender import Sender
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


class OwnerDesk:
    """Answers for the shards that this instance owns, and asks the owners of others."""

    def __init__(self, spindle: Spindle, sender: Sender, book: RoutingState) -> None:
        self.spindle = spindle
        self.sender = sender
        self.book = book
        self.name = spindle.settings.instance.name
        self.waiting: dict[int, ReplyListener] = {}
        self.silent_until: dict[str, float] = {}
        spindle.transport.register_handler(SpreadQuestion, self._on_question)
        spindle.transport.register_handler(SpreadReply, self._on_reply)

    def usable(self, peers: tuple[FleetInstance, ...]) -> tuple[FleetInstance, ...]:
        """Return the peers that were not silent of late; this instance always counts."""
        now = self.spindle.clock.now()
        return tuple(
            peer
            for peer in peers
            if peer.name == self.name or now >= self.silent_until.get(peer.name, 0.0)
        )

    def note_silent(self, name: str) -> None:
        """Leave an owner alone that did not answer."""
        if name == self.name:
            return
        self.silent_until[name] = self.spindle.clock.now() + OWNER_BACKOFF_S
        _LOGGER.info("routed: owner-silent", extra={"event": "owner-silent", "peer": name})

    def ask(self, owner: FleetInstance, question: SpreadQuestion, listener: ReplyListener) -> None:
        """Ask an owner, which may be this instance; the listener gets its answer."""
        if owner.name == self.name:
            gevent.spawn(lambda: listener(self._gather(question)))
            return
        seq = next_attempt_id()
        self.waiting[seq] = listener
        self.spindle.transport.send(owner.address, msgspec.structs.replace(question, seq=seq))
        gevent.spawn_later(question.left_ms / MS_PER_S, self.waiting.pop, seq, None)

    def _on_reply(self, _sender: str, reply: SpreadReply) -> None:
        listener = self.waiting.pop(reply.seq, None)
        if listener is not None:
            self.silent_until.pop(reply.owner, None)
            listener(reply)

    def _on_question(self, _sender: str, question: SpreadQuestion) -> None:
        gevent.spawn(self._answer, question)

    def _answer(self, question: SpreadQuestion) -> None:
        self.spindle.transport.send(question.reply_to, self._gather(question))

    def _gather(self, question: SpreadQuestion) -> SpreadReply:
        record = RunRecord()
        deadline_s = question.left_ms / MS_PER_S
        request = RoutedRequest(question.request, deadline_s, self.spindle.clock.now())
        crew = SendCrew(self.spindle.clock, self.sender, request, record)
        part = GatherRunner(crew, self.book, owned_route(question)).run_part()
        return SpreadReply(question.seq, self.name, part.signatures, part.records, record.sends)


def owned_route(question: SpreadQuestion) -> Route:
    """Return the route of the shards in a question; it ends at the aim with what is there."""
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
