"""The sends of one request."""

from collections import deque
from collections.abc import Iterator

import gevent
from gevent.event import Event

from spindle_daemon.components.routed import const
from spindle_daemon.components.routed.attempt_request import AttemptRequest
from spindle_daemon.components.routed.attempt_result import AttemptResult
from spindle_daemon.components.routed.request_encoder import RequestEncoder
from spindle_daemon.components.routed.request_trace import RequestTrace
from spindle_daemon.components.routed.routed_request import RoutedRequest
from spindle_daemon.components.routed.upstream_client import UpstreamClient
from spindle_daemon.core.clock import Clock
from spindle_decisions.routing.median_latency import MedianLatency
from spindle_decisions.routing.upstream_attempt import UpstreamAttempt


class AttemptPool:
    """A greenlet for each send, and the results in the order in which they came.

    `left` is true once the caller has gone; its sends are then cancelled.
    """

    def __init__(
        self, clock: Clock, sender: UpstreamClient, request: RoutedRequest, record: RequestTrace
    ) -> None:
        self.clock = clock
        self.sender = sender
        self.request = request
        self.record = record
        self.text = RequestEncoder(request.sent, sender.names)
        self.results: deque[AttemptResult] = deque()
        self.wake = Event()
        self.greenlets: set[gevent.Greenlet] = set()
        self.left = False

    def send(
        self, send: UpstreamAttempt, end_at: float, usual: MedianLatency, repeatable: bool
    ) -> None:
        """Start a send that ends at `end_at` at the latest."""
        self.record.sent(send)
        order = AttemptRequest(send, self.request.sent, self.text, end_at, usual, repeatable)
        greenlet = gevent.spawn(self._work, order)
        self.greenlets.add(greenlet)
        greenlet.rawlink(self.greenlets.discard)

    def wait(self, until: float) -> Iterator[AttemptResult]:
        """Wait for results until a time, and return those that came."""
        self.wake.wait(max(0.0, until - self.clock.now()))
        self.wake.clear()
        while self.results and not self.left:
            yield self.results.popleft()

    def linger(self) -> None:
        """Give sends that are no longer needed a moment, which saves their connections."""
        if self.greenlets:
            gevent.spawn_later(const.CANCEL_GRACE_S, self.cancel)

    def cancel(self) -> None:
        """End all sends at once; their connections are closed."""
        gevent.killall(list(self.greenlets), block=False)

    def caller_left(self) -> None:
        """Cancel everything, since nobody waits for the answer."""
        self.left = True
        self.cancel()
        self.wake.set()

    def _work(self, order: AttemptRequest) -> None:
        self.results.append(self.sender.send(order))
        self.wake.set()
