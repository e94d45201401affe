"""The sends of one request."""

from collections import deque
from collections.abc import Iterator

import gevent
from gevent.event import Event

from spindle_daemon.components.routed import const
from spindle_daemon.components.routed.request_text import RequestText
from spindle_daemon.components.routed.routed_request import RoutedRequest
from spindle_daemon.components.routed.run_record import RunRecord
from spindle_daemon.components.routed.send_order import SendOrder
from spindle_daemon.components.routed.send_result import SendResult
from spindle_daemon.components.routed.sender import Sender
from spindle_daemon.core.clock import Clock
from spindle_decisions.routing.median_latency import MedianLatency
from spindle_decisions.routing.upstream_attempt import UpstreamAttempt


class SendCrew:
    """A greenlet for each send, and the results in the order in which they came.

    `left` is true once the caller has gone; its sends are then cancelled.
    """

    def __init__(
        self, clock: Clock, sender: Sender, request: RoutedRequest, record: RunRecord
    ) -> None:
        self.clock = clock
        self.sender = sender
        self.request = request
        self.record = record
        self.text = RequestText(request.sent, sender.names)
        self.results: deque[SendResult] = deque()
        self.wake = Event()
        self.greenlets: set[gevent.Greenlet] = set()
        self.left = False

    def send(
        self, send: UpstreamAttempt, end_at: float, usual: MedianLatency, repeatable: bool
    ) -> None:
        """Start a send that ends at `end_at` at the latest."""
        self.record.sent(send)
        order = SendOrder(send, self.request.sent, self.text, end_at, usual, repeatable)
        greenlet = gevent.spawn(self._work, order)
        self.greenlets.add(greenlet)
        greenlet.rawlink(self.greenlets.discard)

    def wait(self, until: float) -> Iterator[SendResult]:
        """Wait for results until a time, and return those that came."""
        self.wake.wait(max(0.0, until - self.clock.now()))
        self.wake.clear()
        while self.results and not self.left:
            yield self.results.popleft()

    def linger(self) -> None:
        """Give sends that are no longer needed a moment, which saves their connections."""
        if self.greenlets:
            gevent.spawn_later(const.LINGER_S, self.cancel)

    def cancel(self) -> None:
        """End all sends at once; their connections are closed."""
        gevent.killall(list(self.greenlets), block=False)

    def caller_left(self) -> None:
        """Cancel everything, since nobody waits for the answer."""
        self.left = True
        self.cancel()
        self.wake.set()

    def _work(self, order: SendOrder) -> None:
        self.results.append(self.sender.send(order))
        self.wake.set()
