"""Concurrent attempts of one request."""

from collections import deque
from collections.abc import Iterator

import gevent
from gevent.event import Event

from spindle_daemon.components.routed import const
from spindle_daemon.components.routed.attempt_request import AttemptRequest
from spindle_daemon.components.routed.attempt_result import AttemptResult
from spindle_daemon.components.routed.reply_classifier import ReplyClass
from spindle_daemon.components.routed.request_encoder import RequestEncoder
from spindle_daemon.components.routed.request_trace import RequestTrace
from spindle_daemon.components.routed.routed_request import RoutedRequest
from spindle_daemon.components.routed.upstream_client import UpstreamClient
from spindle_daemon.core.clock import Clock
from spindle_decisions.routing.median_latency import MedianLatency
from spindle_decisions.routing.upstream_attempt import UpstreamAttempt


class AttemptPool:
    """Runs each attempt in a greenlet and yields results in the order of completion.

    `caller_gone` is set when the caller disconnects; its attempts are then cancelled.
    `is_answered` is set with the first good answer of an upstream.
    """

    def __init__(
        self,
        clock: Clock,
        upstream_client: UpstreamClient,
        request: RoutedRequest,
        trace: RequestTrace,
    ) -> None:
        self.clock = clock
        self.upstream_client = upstream_client
        self.request = request
        self.trace = trace
        self.encoder = RequestEncoder(request.caller_request, upstream_client.header_names)
        self.results: deque[AttemptResult] = deque()
        self.wake = Event()
        self.greenlets: set[gevent.Greenlet] = set()
        self.caller_gone = False
        self.is_answered = False

    def start_attempt(
        self,
        attempt: UpstreamAttempt,
        end_at: float,
        median_latency: MedianLatency,
        retryable: bool,
    ) -> None:
        """Start an attempt that ends at `end_at` at the latest."""
        self.trace.record_attempt(attempt)
        attempt_request = AttemptRequest(
            attempt, self.request.caller_request, self.encoder, end_at, median_latency, retryable
        )
        greenlet = gevent.spawn(self._run_attempt, attempt_request)
        self.greenlets.add(greenlet)
        greenlet.rawlink(self.greenlets.discard)

    def wait(self, until: float) -> Iterator[AttemptResult]:
        """Wait for results until the time `until`, and yield those that arrived."""
        self.wake.wait(max(0.0, until - self.clock.now()))
        self.wake.clear()
        while self.results and not self.caller_gone:
            yield self.results.popleft()

    def cancel_after_grace(self) -> None:
        """Cancel the remaining attempts after `CANCEL_GRACE_S`.

        One that finishes before keeps its connection open.
        """
        if self.greenlets:
            gevent.spawn_later(const.CANCEL_GRACE_S, self.cancel)

    def cancel(self) -> None:
        """Cancel all attempts and close their connections."""
        gevent.killall(list(self.greenlets), block=False)

    def on_caller_gone(self) -> None:
        """Cancel all attempts, as nobody waits for the answer."""
        self.caller_gone = True
        self.cancel()
        self.wake.set()

    def _run_attempt(self, attempt_request: AttemptRequest) -> None:
        sent_at = self.clock.now()
        result = self.upstream_client.send(attempt_request)
        self._record_in_quarantine(result, sent_at)
        self.results.append(result)
        self.wake.set()

    def _record_in_quarantine(self, result: AttemptResult, sent_at: float) -> None:
        """Record a break, unless an upstream has answered: then the request is not at fault."""
        quarantine, request = self.upstream_client.quarantine, self.request
        if result.reply_class is ReplyClass.GOOD:
            if not self.is_answered and not quarantine.is_empty():
                quarantine.record_answer(request.fingerprint)
            self.is_answered = True
        elif result.broken:
            self.trace.fingerprint = request.fingerprint
            if not self.is_answered:
                quarantine.record_break(
                    request.fingerprint,
                    request.caller_request.request_id,
                    result.attempt.replica.upstream_id,
                    sent_at,
                )
