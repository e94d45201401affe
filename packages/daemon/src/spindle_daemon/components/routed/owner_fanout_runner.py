"""Carrying out a gathered request through the owners of its shards."""

from collections import deque

from gevent.event import Event

from spindle_daemon.components.routed.gather_response import (
    create_gather_refusal,
    create_gather_response,
)
from spindle_daemon.components.routed.owner_desk import OwnerRpc, ReplyListener
from spindle_daemon.components.routed.request_trace import RequestTrace
from spindle_daemon.components.routed.routed_request import RoutedRequest
from spindle_daemon.components.routed.routed_response import RoutedResponse
from spindle_daemon.components.routed.time_left import time_left_s
from spindle_decisions.routing.owner_fanout import OwnerFanout
from spindle_decisions.routing.owner_request import OwnerRequest
from spindle_decisions.routing.owner_response import OwnerResponse
from spindle_decisions.routing.records import merge_top_records
from spindle_decisions.routing.route import Route
from spindle_decisions.util.units import MS_PER_S
from spindle_decisions.wire.fleet_instance import FleetInstance
from spindle_decisions.wire.spread_question import SpreadQuestion
from spindle_decisions.wire.spread_reply import SpreadReply


class OwnerFanoutRunner:
    """Asks owners as a `Spread` decides and merges what they bring."""

    def __init__(
        self,
        desk: OwnerRpc,
        peers: tuple[FleetInstance, ...],
        route: Route,
        request: RoutedRequest,
        record: RequestTrace,
    ) -> None:
        self.desk = desk
        self.clock = desk.spindle.clock
        self.route = route
        self.request = request
        self.record = record
        now = self.clock.now()
        limit_s = time_left_s(request, route, now)
        self.spread = OwnerFanout(route, desk.usable(peers), now, limit_s)
        self.replies: deque[tuple[int, SpreadReply]] = deque()
        self.wake = Event()
        self.left = False

    def run(self) -> RoutedResponse | None:
        """Return the answer, `None` if the caller left; raises `RefusalError`."""
        spread = self.spread
        self._ask(spread.start())
        while spread.outcome is None and not self.left:
            self.wake.wait(max(0.0, spread.next_tick_at() - self.clock.now()))
            self.wake.clear()
            while self.replies:
                self._take(*self.replies.popleft())
            if spread.outcome is None:
                spread.tick(self.clock.now())
        if self.left:
            return None
        for ask in spread.in_flight.values():
            if ask.owner.name in spread.unresponsive:
                self.desk.note_silent(ask.owner.name)
        return self._answer()

    def caller_left(self) -> None:
        """End the request; owners end by themselves at the aim."""
        self.left = True
        self.wake.set()

    def _ask(self, asks: list[OwnerRequest]) -> None:
        for ask in asks:
            self.desk.ask(ask.owner, self._question(ask), self._listener(ask.request_token))

    def _listener(self, token: int) -> ReplyListener:
        def listener(reply: SpreadReply) -> None:
            self.replies.append((token, reply))
            self.wake.set()

        return listener

    def _take(self, token: int, reply: SpreadReply) -> None:
        if token not in self.spread.in_flight:
            return
        self.record.sends += reply.attempts
        part = OwnerResponse(reply.signatures, reply.records)
        self.spread.on_owner_response(token, part, self.clock.now())

    def _question(self, ask: OwnerRequest) -> SpreadQuestion:
        now = self.clock.now()
        return SpreadQuestion(
            seq=0,
            reply_to=self.desk.spindle.settings.mesh.advertise,
            shards=tuple(self.route.shards[at] for at in ask.shard_indexes),
            top_records=self.route.top_records,
            route=self.route.name,
            max_attempts=self.route.max_attempts,
            aim_left_ms=max(1, int((self.spread.aim_at - now) * MS_PER_S)),
            left_ms=max(1, int((self.spread.end_at - now) * MS_PER_S)),
            request=self.request.sent,
        )

    def _answer(self) -> RoutedResponse:
        spread = self.spread
        end = spread.outcome
        assert end is not None
        shards = len(self.route.shards)
        self.record.gathered(end.reason, spread.answered_shards, shards)
        if end.answered:
            signatures = [item for part in spread.responses for item in part.signatures]
            records = merge_top_records(
                [part.records for part in spread.responses], self.route.top_records
            )
            names = self.desk.sender.names
            missing = shards - spread.answered_shards
            return create_gather_response(
                names, self.request.sent.request_id, signatures, missing, records
            )
        raise create_gather_refusal(end.reason)
