"""Runner of requests that one upstream answers."""

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
    """Sends the attempts of a `SingleExecution` and forwards the upstream's answer."""

    def __init__(
        self, attempt_pool: AttemptPool, routing_state: RoutingState, route: Route
    ) -> None:
        self.attempt_pool = attempt_pool
        self.route = route
        now = attempt_pool.clock.now()
        self.single = SingleExecution(
            route, routing_state, now, time_left_s(attempt_pool.request, route, now)
        )
        self.good_reply: RawReply | None = None
        self.failure_reply: RawReply | None = None
        self.timed_out = False

    def run(self) -> RoutedResponse | None:
        """Return the answer, `None` if the caller disconnected; raises `RefusalError`."""
        single, clock = self.single, self.attempt_pool.clock
        self._start_attempt(single.start(clock.now()))
        while self.good_reply is None and single.in_flight and not self.attempt_pool.caller_gone:
            if clock.now() >= single.end_at:
                break
            for result in self.attempt_pool.wait(single.next_tick_at()):
                self._on_result(result)
            if self.good_reply is None:
                self._start_attempt(single.tick(clock.now()))
        if self.attempt_pool.caller_gone:
            return None
        self.attempt_pool.cancel_after_grace()
        return self._answer()

    def end_by(self, at: float) -> None:
        """Answer at `at` at the latest."""
        self.single.end_at = min(self.single.end_at, at)
        self.attempt_pool.wake.set()

    def _start_attempt(self, attempt: UpstreamAttempt | None) -> None:
        if attempt is not None:
            self.attempt_pool.start_attempt(
                attempt, self.single.end_at, self.single.median_latency, self.route.idempotent
            )

    def _on_result(self, result: AttemptResult) -> None:
        now = self.attempt_pool.clock.now()
        attempt_id = result.attempt.attempt_id
        if result.reply_class is ReplyClass.GOOD:
            self.single.on_response(attempt_id, now)
            self.good_reply = result.reply
            return
        self.attempt_pool.trace.record_failure(result)
        self.timed_out = self.timed_out or result.timed_out
        if result.not_sent:
            self._start_attempt(self.single.on_not_sent(attempt_id, now))
        elif result.is_not_run():
            self._start_attempt(self.single.on_not_run(attempt_id, now))
        else:
            if result.reply_class is ReplyClass.FAILURE:
                self.failure_reply = result.reply
            self._start_attempt(self.single.on_failure(attempt_id, now))

    def _answer(self) -> RoutedResponse:
        reply = self.good_reply or self.failure_reply
        if reply is not None:
            headers = answer_headers(reply.headers)
            return RoutedResponse(reply.status, reply.reason, headers, reply.body)
        if self.single.in_flight or self.timed_out:
            raise DeadlineExceededError("no answer in time")
        if self.single.may_have_run:
            raise OutcomeUnknownError("the upstream's answer was lost")
        if self.attempt_pool.trace.attempt_count:
            raise NotRunError("no upstream took the request")
        replicas = self.single.state.replicas
        if replicas.is_service_rate_limited(self.single.service, self.attempt_pool.clock.now()):
            raise OverloadedError("the upstreams get as many requests as they take")
        rest_left_s = replicas.rest_left_s(self.single.service, self.attempt_pool.clock.now())
        if rest_left_s:
            raise OverloadedError("the upstreams ask for no requests for a while", rest_left_s)
        raise OverloadedError("no upstream may be used now")
