"""Carries out the actions of one query on the loop."""

from collections.abc import Callable, Mapping

import gevent
import msgspec
from gevent.event import Event

from spindle_daemon.components.serving import const
from spindle_daemon.components.serving.rows_body import RowsBody
from spindle_daemon.components.serving.send_failure import SendFailure
from spindle_daemon.components.serving.upstream_channel import UpstreamChannel
from spindle_daemon.components.serving.upstream_connection import METHOD_POST
from spindle_daemon.components.serving.upstream_news import UpstreamNews
from spindle_daemon.components.serving.upstream_reply import UpstreamReply
from spindle_daemon.core.clock import Clock
from spindle_decisions.exceptions import BadRequestError
from spindle_decisions.serving.cancel_sub_request import CancelSubRequest
from spindle_decisions.serving.failure_kind import FailureKind
from spindle_decisions.serving.query_execution import QueryExecution
from spindle_decisions.serving.query_observer import QueryObserver
from spindle_decisions.serving.query_result import QueryResult
from spindle_decisions.serving.query_spec import QuerySpec
from spindle_decisions.serving.reply_failure import classify_failure
from spindle_decisions.serving.send_sub_request import SendSubRequest
from spindle_decisions.serving.snapshot_id import SnapshotId, parse_snapshot_id
from spindle_decisions.serving.upstream_pool import UpstreamPool
from spindle_decisions.wire.headers import (
    HEADER_DEADLINE_MS,
    HEADER_REQUEST_ID,
    HEADER_SNAPSHOT,
)

_ROWS_DECODER = msgspec.json.Decoder(RowsBody)


class QueryRunner:
    """Sends, cancels and waits as its `Scatter` decides.

    Each sub-request has a greenlet of its own, which hands its answer to the
    state machine and carries out what follows; the greenlet of the caller only
    waits for the end and for timers.
    """

    def __init__(
        self,
        request_id: str,
        plan: QuerySpec,
        body_of: Mapping[str, bytes],
        board: UpstreamPool,
        channels: Mapping[str, UpstreamChannel],
        news: UpstreamNews,
        hurry: Callable[[str], None],
        notes: QueryObserver,
        clock: Clock,
    ) -> None:
        self.request_id = request_id
        self.body_of = body_of
        self.channels = channels
        self.news = news
        self.hurry = hurry
        self.clock = clock
        self.scatter = QueryExecution(plan, board, notes, self._wake)
        self.greenlets: dict[int, gevent.Greenlet] = {}
        self.event = Event()
        self.sleeps_until = 0.0
        self.result: QueryResult | None = None
        self.loop = gevent.get_hub().loop

    def run(self) -> QueryResult:
        """Run the query to its end."""
        self.scatter.start(self.clock.now())
        self._carry_out()
        while self.result is None:
            self.sleeps_until = self.scatter.next_timer_at
            self.event.wait(max(0.0, self.sleeps_until - self.clock.now()))
            self.event.clear()
            if self.result is None:
                self.scatter.on_timer(self.clock.now())
                self._carry_out()
        return self.result

    def caller_gone(self) -> None:
        """Cancel everything, since nobody waits for the answer."""
        self.scatter.on_caller_gone(self.clock.now())
        self._carry_out()

    def _wake(self) -> None:
        self.loop.run_callback(self._carry_out)

    def _carry_out(self) -> None:
        for action in self.scatter.take_actions():
            if isinstance(action, SendSubRequest):
                self.greenlets[action.attempt] = gevent.spawn(self._send, action)
            elif isinstance(action, CancelSubRequest):
                greenlet = self.greenlets.pop(action.attempt, None)
                if greenlet is not None:
                    greenlet.kill(block=False)
            else:
                self.result = action.result
                self.event.set()
        if self.scatter.next_timer_at < self.sleeps_until:
            self.event.set()

    def _send(self, send: SendSubRequest) -> None:
        sent_id = f"{self.request_id}.{send.attempt}"
        left_ms = (self.scatter.spec.deadline - self.clock.now()) * const.MS_PER_S
        headers = {
            HEADER_REQUEST_ID: sent_id,
            HEADER_SNAPSHOT: str(send.snapshot),
            HEADER_DEADLINE_MS: str(max(1, int(left_ms))),
        }
        channel = self.channels.get(send.upstream)
        if channel is None:
            reply: UpstreamReply | SendFailure = SendFailure(False, "withdrawn from the catalog")
        else:
            body = self.body_of[send.service]
            reply = channel.exchange(METHOD_POST, const.PATH_QUERY, body, headers)
        self.greenlets.pop(send.attempt, None)
        self._replied(send, sent_id, reply)
        self._carry_out()

    def _replied(
        self, send: SendSubRequest, sent_id: str, reply: UpstreamReply | SendFailure
    ) -> None:
        now = self.clock.now()
        if isinstance(reply, SendFailure):
            kind = FailureKind.BROKEN if reply.sent else FailureKind.NOT_SENT
            self.scatter.on_failure(send.attempt, kind, now)
            return
        self.news.heard(send.upstream, reply, now)
        failure = classify_failure(
            reply.status, sent_id, reply.request_id, reply.not_run, reply.draining
        )
        if failure is FailureKind.SNAPSHOT_GONE:
            self.hurry(send.upstream)
        if failure is not None:
            self.scatter.on_failure(send.attempt, failure, now)
            return
        try:
            # Raw rows are not checked for UTF-8, and one bad row would spoil the answer.
            reply.body.decode()
            rows = _ROWS_DECODER.decode(reply.body).rows
            snapshot = _snapshot(reply.snapshot, send.snapshot)
        except (msgspec.MsgspecError, UnicodeDecodeError, BadRequestError):
            self.scatter.on_failure(send.attempt, FailureKind.BROKEN, now)
            return
        self.scatter.on_response(send.attempt, snapshot, rows, now)


def _snapshot(text: str, expected: SnapshotId) -> SnapshotId:
    return expected if text == str(expected) else parse_snapshot_id(text)
