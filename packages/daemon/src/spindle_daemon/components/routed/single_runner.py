"""Carrying out a request that one upstream answers."""

from spindle_daemon.components.routed.attempt_pool import AttemptPool
from spindle_daemon.components.routed.attempt_result import AttemptResult
from spindle_daemon.components.routed.headers import answer_headers
from spindle_daemon.components.routed.raw_reply import RawReply
from spindle_daemon.components.routed.reply_classifier import ReplyClass
from spindle_daemon.components.routed.routed_response import RoutedResponse
from spindle_daemon.components.routed.time_left import time_left_s
from spindle_decisions.exceptions import (
    DeadlineExceededError,
    NotRunError,
    OutcomeUnknownError,
    OverloadedError,
)
from spindle_decisions.routing.route import Route
from spindle_decisions.routing.routing_state import RoutingState
from spindle_decisions.routing.single_execution import SingleExecution
from spindle_decisions.routing.upstream_attempt import UpstreamAttempt


class SingleRunner:
    """Carries out what a `Single` decides and passes the upstream's answer on."""

    def __init__(self, crew: AttemptPool, book: RoutingState, route: Route) -> None:
        self.crew = crew
        self.route = route
        now = crew.clock.now()
        self.single = SingleExecution(route, book, now, time_left_s(crew.request, route, now))
        self.good: RawReply | None = None
        self.failure: RawReply | None = None
        self.late = False

    def run(self) -> RoutedResponse | None:
        """Return the answer, `None` if the caller left; raises `RefusalError`."""
        single, clock = self.single, self.crew.clock
        self._send(single.start(clock.now()))
        while self.good is None and single.in_flight and not self.crew.left:
            if clock.now() >= single.end_at:
                break
            for result in self.crew.wait(single.next_tick_at()):
                self._take(result)
            if self.good is None:
                self._send(single.tick(clock.now()))
        if self.crew.left:
            return None
        self.crew.linger()
        return self._answer()

    def _send(self, send: UpstreamAttempt | None) -> None:
        if send is not None:
            self.crew.send(
                send, self.single.end_at, self.single.median_latency, self.route.idempotent
            )

    def _take(self, result: AttemptResult) -> None:
        now = self.crew.clock.now()
        token = result.send.attempt_id
        if result.meaning is ReplyClass.GOOD:
            self.single.on_response(token, now)
            self.good = result.reply
            return
        self.crew.record.failed(result)
        self.late = self.late or result.late
        if result.unsent:
            self._send(self.single.on_not_sent(token, now))
        elif result.meaning in (ReplyClass.NOT_RUN, ReplyClass.MISPLACED):
            self._send(self.single.on_not_run(token, now))
        else:
            if result.meaning is ReplyClass.FAILURE:
                self.failure = result.reply
            self._send(self.single.on_failure(token, now))

    def _answer(self) -> RoutedResponse:
        reply = self.good or self.failure
        if reply is not None:
            headers = answer_headers(reply.headers)
            return RoutedResponse(reply.status, reply.reason, headers, reply.body)
        if self.single.in_flight or self.late:
            raise DeadlineExceededError("no answer in time")
        if self.single.may_have_run:
            raise OutcomeUnknownError("the upstream's answer was lost")
        if self.crew.record.sends:
            raise NotRunError("no upstream took the request")
        raise OverloadedError("no upstream may be used now")
