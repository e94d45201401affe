"""Sending one request to one upstream."""

import gevent

from spindle_daemon.components.routed import const
from spindle_daemon.components.routed.ejection_log import EjectionLog
from spindle_daemon.components.routed.link_pool import LinkPool
from spindle_daemon.components.routed.raw_reply import RawReply
from spindle_daemon.components.routed.reply_judge import ReplyMeaning, judge_reply, reported_load
from spindle_daemon.components.routed.send_error import SendError
from spindle_daemon.components.routed.send_order import SendOrder
from spindle_daemon.components.routed.send_result import SendResult
from spindle_daemon.core.clock import Clock
from spindle_daemon.core.platform_adapter import HeaderNames
from spindle_decisions.routing.replica import Replica
from spindle_decisions.routing.replica_pool import ReplicaPool


class Sender:
    """Holds the connections to all upstreams and notes how each send ended."""

    def __init__(self, clock: Clock, names: HeaderNames, replicas: ReplicaPool) -> None:
        self.clock = clock
        self.replicas = replicas
        self.names = names
        self.pools: dict[str, LinkPool] = {}
        self.watch = EjectionLog()

    def send(self, order: SendOrder) -> SendResult:
        """Send and wait for the answer, until its time is over at the latest."""
        replica, token = order.send.replica, order.send.attempt_id
        started = self.clock.now()
        replica.record_sent(token, started)
        try:
            result = self._exchange(order, started)
            self.watch.note(replica, result.reason, self.clock.now())
            return result
        except gevent.GreenletExit:
            self._note_silent(order, started)
            raise
        finally:
            replica.record_finished(token)

    def _exchange(self, order: SendOrder, started: float) -> SendResult:
        send, replica = order.send, order.send.replica
        left_s = order.end_at - started
        request = order.text.encode(replica.upstream_id, left_s)
        fresh_s = const.IDLE_MOST_S if order.repeatable else const.IDLE_FRESH_S
        timeout = gevent.Timeout(max(0.001, left_s))
        try:
            with timeout:
                reply = self.pool(replica).exchange(order.request.method, request, fresh_s)
        except SendError as err:
            self._note_error(replica, err)
            return SendResult(send, None, None, err.unsent, str(err))
        except gevent.Timeout as err:
            if err is not timeout:
                raise
            self._note_silent(order, started)
            return SendResult(send, None, None, False, "no answer in time", late=True)
        return self._judged(order, reply, started)

    def _judged(self, order: SendOrder, reply: RawReply, started: float) -> SendResult:
        now = self.clock.now()
        replica = order.send.replica
        meaning = judge_reply(reply, order.request.request_id, self.names)
        load = reported_load(reply, self.names)
        if load is not None and meaning is not ReplyMeaning.FOREIGN:
            replica.record_load_report(now, *load)
        if meaning is ReplyMeaning.GOOD:
            self.replicas.record_success(replica, now, now - started, order.usual.seconds)
        elif meaning is ReplyMeaning.MISPLACED:
            replica.record_misdirected(now)
        else:
            replica.record_failure(now)
        return SendResult(order.send, reply, meaning, False, f"{meaning.value} {reply.status}")

    def _note_silent(self, order: SendOrder, started: float) -> None:
        now = self.clock.now()
        self.replicas.record_no_response(
            order.send.replica, now, now - started, order.usual.seconds
        )

    def _note_error(self, replica: Replica, err: SendError) -> None:
        if err.busy:
            return
        if err.unsent:
            self.replicas.record_connect_failure(replica, self.clock.now())
        else:
            replica.record_failure(self.clock.now())

    def pool(self, replica: Replica) -> LinkPool:
        """Return the connections to an upstream."""
        pool = self.pools.get(replica.upstream_id)
        if pool is None or (pool.host, pool.port) != (replica.listed.host, replica.listed.port):
            if pool is not None:
                pool.close()
            pool = LinkPool(self.clock, replica.listed.host, replica.listed.port)
            self.pools[replica.upstream_id] = pool
        pool.share = replica.connection_share
        return pool

    def set_shares(self, replicas: dict[str, Replica]) -> None:
        """Follow the shares of the upstreams, and close the connections to those that went."""
        for upstream_id in list(self.pools):
            replica = replicas.get(upstream_id)
            if replica is None:
                self.pools.pop(upstream_id).close()
            else:
                self.pools[upstream_id].set_share(replica.connection_share)
