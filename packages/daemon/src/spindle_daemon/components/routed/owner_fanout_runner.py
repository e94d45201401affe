"""Runner of scatter-gather requests through the owners of the shards."""

from collections import deque
from collections.abc import Callable

import gevent
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
from spindle_decisions.wire.spread_question import SpreadQuestion
from spindle_decisions.wire.spread_reply import SpreadReply


class OwnerFanoutRunner:
    """Sends the owner requests of an `OwnerFanout` and merges the responses."""

    def __init__(
        self,
        owner_rpc: OwnerRpc,
        route: Route,
        request: RoutedRequest,
        trace: RequestTrace,
    ) -> None:
        self.owner_rpc = owner_rpc
        self.clock = owner_rpc.spindle.clock
        self.route = route
        self.request = request
        self.trace = trace
        now = self.clock.now()
        limit_s = time_left_s(request, route, now)
        self.fanout = OwnerFanout(route, owner_rpc.usable_owners(), now, limit_s)
        self.replies: deque[tuple[int, SpreadReply]] = deque()
        self.wake = Event()
        self.caller_gone = False
        # By request token: tells the owner that no more replies are needed.
        self.cancel_calls: dict[int, Callable[[], None]] = {}

    def run(self) -> RoutedResponse | None:
        """Return the answer, `None` if the caller disconnected; raises `RefusalError`."""
        fanout = self.fanout
        self._query_owners(fanout.start())
        while fanout.outcome is None and not self.caller_gone:
            self.wake.wait(max(0.0, fanout.next_tick_at() - self.clock.now()))
            self.wake.clear()
            while self.replies:
                self._on_reply(*self.replies.popleft())
            if fanout.outcome is None:
                self._tick()
        # The answer goes out first: each word to an owner takes time.
        gevent.spawn(self._cancel_open, tuple(fanout.in_flight))
        return None if self.caller_gone else self._answer()

    def _cancel_open(self, request_tokens: tuple[int, ...]) -> None:
        for request_token in request_tokens:
            self.cancel_calls[request_token]()
            gevent.sleep(0)

    def _tick(self) -> None:
        fanout, now = self.fanout, self.clock.now()
        checked = fanout.timeout_checked
        fanout.tick(now)
        if not checked:
            for name in fanout.unresponsive:
                self.owner_rpc.record_timeout(name)
        fanout.check_silence(self.owner_rpc.liveness.silent(), now)

    def end_by(self, at: float) -> None:
        """Answer at `at` at the latest."""
        self.fanout.end_at = min(self.fanout.end_at, at)
        self.wake.set()

    def on_caller_gone(self) -> None:
        """End the request; its owners are told."""
        self.caller_gone = True
        self.wake.set()

    def _query_owners(self, owner_requests: list[OwnerRequest]) -> None:
        for owner_request in owner_requests:
            self.cancel_calls[owner_request.request_token] = self.owner_rpc.query_owner(
                owner_request.owner,
                self._question(owner_request),
                self._listener(owner_request.request_token),
            )

    def _listener(self, request_token: int) -> ReplyListener:
        def listener(reply: SpreadReply) -> None:
            self.replies.append((request_token, reply))
            self.wake.set()

        return listener

    def _on_reply(self, request_token: int, reply: SpreadReply) -> None:
        if request_token not in self.fanout.in_flight:
            return
        self.trace.attempt_count += reply.attempts
        response = OwnerResponse(reply.signatures, reply.records, reply.more, reply.number)
        self.fanout.on_owner_response(request_token, response, self.clock.now())

    def _question(self, owner_request: OwnerRequest) -> SpreadQuestion:
        now = self.clock.now()
        return SpreadQuestion(
            seq=0,
            reply_to=self.owner_rpc.spindle.settings.mesh.advertise,
            shards=tuple(self.route.shards[index] for index in owner_request.shard_indexes),
            top_records=self.route.top_records,
            route=self.route.name,
            max_attempts=self.route.max_attempts,
            aim_left_ms=max(1, int((self.fanout.aim_at - now) * MS_PER_S)),
            left_ms=max(1, int((self.fanout.end_at - now) * MS_PER_S)),
            request=self.request.caller_request,
        )

    def _answer(self) -> RoutedResponse:
        fanout = self.fanout
        outcome = fanout.outcome
        assert outcome is not None
        shards = len(self.route.shards)
        self.trace.record_gather_outcome(outcome.reason, fanout.answered_shards, shards)
        if outcome.answered:
            signatures = [item for response in fanout.responses for item in response.signatures]
            records = merge_top_records(
                [response.records for response in fanout.responses], self.route.top_records
            )
            names = self.owner_rpc.upstream_client.header_names
            missing = shards - fanout.answered_shards
            return create_gather_response(
                names, self.request.caller_request.request_id, signatures, missing, records
            )
        raise create_gather_refusal(outcome.reason)
