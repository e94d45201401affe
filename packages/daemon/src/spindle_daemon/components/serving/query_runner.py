"""Performs the actions of one query with greenlets."""

from collections.abc import Callable, Mapping

import gevent
import msgspec
from gevent.event import Event

from spindle_daemon.components.serving import const
from spindle_daemon.components.serving.exchange_failure import ExchangeFailure
from spindle_daemon.components.serving.rows_body import RowsBody
from spindle_daemon.components.serving.upstream_connection import METHOD_POST
from spindle_daemon.components.serving.upstream_connection_pool import UpstreamConnectionPool
from spindle_daemon.components.serving.upstream_news import UpstreamReports
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
    """Sends and cancels the sub-requests that its `QueryExecution` asks for.

    Each sub-request has its own greenlet, which passes the answer to the state
    machine and performs the resulting actions. The greenlet of the caller only
    waits for the end of the query and for timers.
    """

    def __init__(
        self,
        request_id: str,
        spec: QuerySpec,
        bodies: Mapping[str, bytes],
        pool: UpstreamPool,
        connection_pools: Mapping[str, UpstreamConnectionPool],
        reports: UpstreamReports,
        probe_now: Callable[[str], None],
        observer: QueryObserver,
        clock: Clock,
    ) -> None:
        self.request_id = request_id
        self.bodies = bodies
        self.connection_pools = connection_pools
        self.reports = reports
        self.probe_now = probe_now
        self.clock = clock
        self.execution = QueryExecution(spec, pool, observer, self._wake)
        self.greenlets: dict[int, gevent.Greenlet] = {}
        self.event = Event()
        self.sleeps_until = 0.0
        self.result: QueryResult | None = None
        self.loop = gevent.get_hub().loop

    def run(self) -> QueryResult:
        """Run the query to its end and return the result."""
        self.execution.start(self.clock.now())
        self._perform_actions()
        while self.result is None:
            self.sleeps_until = self.execution.next_timer_at
            self.event.wait(max(0.0, self.sleeps_until - self.clock.now()))
            self.event.clear()
            if self.result is None:
                self.execution.on_timer(self.clock.now())
                self._perform_actions()
        return self.result

    def on_caller_gone(self) -> None:
        """Cancel the query, because the caller disconnected."""
        self.execution.on_caller_gone(self.clock.now())
        self._perform_actions()

    def _wake(self) -> None:
        self.loop.run_callback(self._perform_actions)

    def _perform_actions(self) -> None:
        for action in self.execution.take_actions():
            if isinstance(action, SendSubRequest):
                self.greenlets[action.attempt] = gevent.spawn(self._send, action)
            elif isinstance(action, CancelSubRequest):
                greenlet = self.greenlets.pop(action.attempt, None)
                if greenlet is not None:
                    greenlet.kill(block=False)
            else:
                self.result = action.result
                self.event.set()
        if self.execution.next_timer_at < self.sleeps_until:
            self.event.set()

    def _send(self, sub_request: SendSubRequest) -> None:
        attempt_id = f"{self.request_id}.{sub_request.attempt}"
        left_ms = (self.execution.spec.deadline - self.clock.now()) * const.MS_PER_S
        headers = {
            HEADER_REQUEST_ID: attempt_id,
            HEADER_SNAPSHOT: str(sub_request.snapshot),
            HEADER_DEADLINE_MS: str(max(1, int(left_ms))),
        }
        connection_pool = self.connection_pools.get(sub_request.upstream)
        if connection_pool is None:
            reply: UpstreamReply | ExchangeFailure = ExchangeFailure(
                False, "withdrawn from the catalog"
            )
        else:
            body = self.bodies[sub_request.service]
            reply = connection_pool.exchange(METHOD_POST, const.PATH_QUERY, body, headers)
        self.greenlets.pop(sub_request.attempt, None)
        self._on_reply(sub_request, attempt_id, reply)
        self._perform_actions()

    def _on_reply(
        self, sub_request: SendSubRequest, attempt_id: str, reply: UpstreamReply | ExchangeFailure
    ) -> None:
        now = self.clock.now()
        if isinstance(reply, ExchangeFailure):
            kind = FailureKind.BROKEN if reply.sent else FailureKind.NOT_SENT
            self.execution.on_failure(sub_request.attempt, kind, now)
            return
        self.reports.on_headers(sub_request.upstream, reply, now)
        failure = classify_failure(
            reply.status, attempt_id, reply.request_id, reply.not_run, reply.draining
        )
        if failure is FailureKind.SNAPSHOT_GONE:
            self.probe_now(sub_request.upstream)
        if failure is not None:
            self.execution.on_failure(sub_request.attempt, failure, now)
            return
        try:
            # Raw rows are not checked for UTF-8, and one invalid row would corrupt the answer.
            reply.body.decode()
            rows = _ROWS_DECODER.decode(reply.body).rows
            snapshot = _snapshot(reply.snapshot, sub_request.snapshot)
        except (msgspec.MsgspecError, UnicodeDecodeError, BadRequestError):
            self.execution.on_failure(sub_request.attempt, FailureKind.BROKEN, now)
            return
        self.execution.on_response(sub_request.attempt, snapshot, rows, now)


def _snapshot(text: str, expected: SnapshotId) -> SnapshotId:
    return expected if text == str(expected) else parse_snapshot_id(text)
