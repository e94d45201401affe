"""Client that sends attempts to upstreams."""

import gevent

from spindle_daemon.components.quarantine.entry_quarantine import EntryQuarantine
from spindle_daemon.components.routed import const
from spindle_daemon.components.routed.attempt_error import AttemptError
from spindle_daemon.components.routed.attempt_request import AttemptRequest
from spindle_daemon.components.routed.attempt_result import AttemptResult
from spindle_daemon.components.routed.ejection_log import EjectionLog
from spindle_daemon.components.routed.rate_limit_log import RateLimitLog
from spindle_daemon.components.routed.raw_reply import RawReply
from spindle_daemon.components.routed.receive_budget import ReceiveBudget
from spindle_daemon.components.routed.reply_classifier import (
    ReplyClass,
    classify_reply,
    is_own_reply,
    named_rate_limit,
    reported_load,
    requested_rest_s,
    says_leaving,
)
from spindle_daemon.components.routed.routed_connection_pool import RoutedConnectionPool
from spindle_daemon.components.routed.upstream_notice_log import UpstreamNoticeLog
from spindle_daemon.core.clock import Clock
from spindle_daemon.core.platform_adapter import HeaderNames
from spindle_decisions.routing.attempt_cause import FIRST
from spindle_decisions.routing.replica import Replica
from spindle_decisions.routing.replica_pool import ReplicaPool


class UpstreamClient:
    """Holds the connections to all upstreams, and records the result of each attempt."""

    def __init__(
        self,
        clock: Clock,
        header_names: HeaderNames,
        replicas: ReplicaPool,
        quarantine: EntryQuarantine,
    ) -> None:
        self.clock = clock
        self.quarantine = quarantine
        self.replicas = replicas
        self.header_names = header_names
        self.pools: dict[str, RoutedConnectionPool] = {}
        self.ejection_log = EjectionLog()
        self.rate_limit_log = RateLimitLog()
        self.notice_log = UpstreamNoticeLog()
        self.budget = ReceiveBudget(const.MAX_HELD_ANSWER_BYTES)

    def send(self, attempt_request: AttemptRequest) -> AttemptResult:
        """Send an attempt and wait for the answer, until its `end_at` at the latest."""
        replica, attempt_id = attempt_request.attempt.replica, attempt_request.attempt.attempt_id
        started = self.clock.now()
        replica.record_sent(attempt_id, started)
        if replica.rate_limit is not None:
            replica.rate_limit.record_sent(attempt_request.attempt.cause != FIRST)
        try:
            result = self._exchange(attempt_request, started)
            self.ejection_log.log_change(replica, result.reason, self.clock.now())
            return result
        except gevent.GreenletExit:
            self._record_no_response(attempt_request, started)
            raise
        finally:
            replica.record_finished(attempt_id)
            self.replicas.connection_queue.notify(replica.listed.service)

    def _exchange(self, attempt_request: AttemptRequest, started: float) -> AttemptResult:
        attempt, replica = attempt_request.attempt, attempt_request.attempt.replica
        left_s = attempt_request.end_at - started
        request = attempt_request.encoder.encode(replica.upstream_id, left_s)
        max_idle_s = (
            const.KEEP_ALIVE_MAX_S if attempt_request.retryable else const.NON_IDEMPOTENT_MAX_IDLE_S
        )
        request_id = attempt_request.request.request_id

        def is_own(reply: RawReply) -> bool:
            return is_own_reply(reply, request_id, self.header_names)

        timeout = gevent.Timeout(max(0.001, left_s))
        try:
            with timeout:
                reply = self.pool(replica).exchange(
                    attempt_request.request.method, request, max_idle_s, is_own
                )
        except AttemptError as err:
            self._record_error(replica, err)
            return AttemptResult(attempt, None, None, err.not_sent, str(err), broken=err.broken)
        except gevent.Timeout as err:
            if err is not timeout:
                raise
            self._record_no_response(attempt_request, started)
            return AttemptResult(attempt, None, None, False, "no answer in time", timed_out=True)
        return self._classified_result(attempt_request, reply, started)

    def _classified_result(
        self, attempt_request: AttemptRequest, reply: RawReply, started: float
    ) -> AttemptResult:
        now = self.clock.now()
        replica = attempt_request.attempt.replica
        reply_class = classify_reply(reply, attempt_request.request.request_id, self.header_names)
        load = reported_load(reply, self.header_names)
        if load is not None and reply_class is not ReplyClass.FOREIGN:
            replica.record_load_report(now, *load)
        if reply_class is not ReplyClass.MISPLACED:
            self._record_notices(replica, reply, now)
        if reply_class not in (ReplyClass.FOREIGN, ReplyClass.MISPLACED):
            self._record_rate_limit(replica, reply, started)
        if reply_class is ReplyClass.GOOD:
            self.replicas.record_success(
                replica, now, now - started, attempt_request.median_latency.seconds
            )
        elif reply_class is ReplyClass.MISPLACED:
            replica.record_misdirected(now)
        else:
            replica.record_failure(now)
        return AttemptResult(
            attempt_request.attempt,
            reply,
            reply_class,
            False,
            f"{reply_class.value} {reply.status}",
        )

    def _record_notices(self, replica: Replica, reply: RawReply, now: float) -> None:
        """Record whether the upstream is leaving or asks for a rest.

        A late copy of another answer on the connection comes from the same upstream, so it
        counts as well.
        """
        if says_leaving(reply, self.header_names) and replica.record_leaving(now):
            self.notice_log.log_leaving(replica, now)
        rest_s = requested_rest_s(reply, self.header_names)
        if rest_s:
            replica.record_rest(now, rest_s)
            self.notice_log.log_rest(replica, now, rest_s)

    def _record_rate_limit(self, replica: Replica, reply: RawReply, started: float) -> None:
        now = self.clock.now()
        current = None if replica.rate_limit is None else replica.rate_limit.per_s
        limit = named_rate_limit(reply, self.header_names, current)
        replica.record_rate_limit(now, started, limit)
        self.rate_limit_log.log_change(replica, now)

    def _record_no_response(self, attempt_request: AttemptRequest, started: float) -> None:
        now = self.clock.now()
        self.replicas.record_no_response(
            attempt_request.attempt.replica,
            now,
            now - started,
            attempt_request.median_latency.seconds,
        )

    def _record_error(self, replica: Replica, err: AttemptError) -> None:
        if err.busy:
            return
        if err.too_long:
            replica.record_violation(self.clock.now())
        elif err.not_sent:
            self.replicas.record_connect_failure(replica, self.clock.now())
        else:
            replica.record_failure(self.clock.now())

    def pool(self, replica: Replica) -> RoutedConnectionPool:
        """Return the connection pool of an upstream; replaces it if the address changed."""
        pool = self.pools.get(replica.upstream_id)
        if pool is None or (pool.host, pool.port) != (replica.listed.host, replica.listed.port):
            if pool is not None:
                pool.close()
            pool = RoutedConnectionPool(
                self.clock, replica.listed.host, replica.listed.port, self.budget
            )
            self.pools[replica.upstream_id] = pool
        pool.max_connections = replica.connection_share
        return pool

    def set_connection_shares(self, replicas: dict[str, Replica]) -> None:
        """Apply the connection shares, and close the pools of upstreams that were removed."""
        for upstream_id in list(self.pools):
            replica = replicas.get(upstream_id)
            if replica is None:
                self.pools.pop(upstream_id).close()
            else:
                self.pools[upstream_id].set_max_connections(replica.connection_share)
        self.rate_limit_log.retain(replicas)
