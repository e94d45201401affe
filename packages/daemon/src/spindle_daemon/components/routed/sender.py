"""Sending one request to one upstream."""

import gevent

from spindle_daemon.components.routed import const
from spindle_daemon.components.routed.ejection_log import EjectionLog
from spindle_daemon.components.routed.link_pool import LinkPool
from spindle_daemon.components.routed.raw_reply import RawReply
from spindle_daemon.components.routed.reply_judge import ReplyMeaning, judge_reply, reported_load
from spindle_daemon.components.routed.request_text import RequestText
from spindle_daemon.components.routed.send_error import SendError
from spindle_daemon.components.routed.send_result import SendResult
from spindle_daemon.core.clock import Clock
from spindle_daemon.core.dialect import HeaderNames
from spindle_decisions.routing.part_send import PartSend
from spindle_decisions.routing.replica import Replica
from spindle_decisions.routing.replica_book import ReplicaBook
from spindle_decisions.routing.usual_time import UsualTime


class Sender:
    """Holds the connections to all upstreams and notes how each send ended."""

    def __init__(self, clock: Clock, names: HeaderNames, replicas: ReplicaBook) -> None:
        self.clock = clock
        self.replicas = replicas
        self.names = names
        self.pools: dict[str, LinkPool] = {}
        self.watch = EjectionLog()

    def send(
        self,
        send: PartSend,
        text: RequestText,
        method: str,
        request_id: str,
        end_at: float,
        usual: UsualTime,
        repeatable: bool,
    ) -> SendResult:
        """Send and wait for the answer, until `end_at` at the latest."""
        replica = send.replica
        started = self.clock.now()
        replica.sent(send.token, started)
        try:
            result = self._exchange(send, text, method, request_id, end_at, usual, repeatable)
            self.watch.note(replica, result.reason, self.clock.now())
            return result
        except gevent.GreenletExit:
            now = self.clock.now()
            self.replicas.silent(replica, now, now - started, usual.seconds)
            raise
        finally:
            replica.ended(send.token)

    def _exchange(
        self,
        send: PartSend,
        text: RequestText,
        method: str,
        request_id: str,
        end_at: float,
        usual: UsualTime,
        repeatable: bool,
    ) -> SendResult:
        replica = send.replica
        started = self.clock.now()
        request = text.encode(replica.upstream_id, end_at - started)
        fresh_s = const.IDLE_MOST_S if repeatable else const.IDLE_FRESH_S
        timeout = gevent.Timeout(max(0.001, end_at - started))
        try:
            with timeout:
                reply = self.pool(replica).exchange(method, request, fresh_s)
        except SendError as err:
            self._note_error(replica, err)
            return SendResult(send, None, None, err.unsent, str(err))
        except gevent.Timeout as err:
            if err is not timeout:
                raise
            now = self.clock.now()
            self.replicas.silent(replica, now, now - started, usual.seconds)
            return SendResult(send, None, None, False, "no answer in time", late=True)
        return self._judged(send, reply, request_id, started, usual)

    def _judged(
        self, send: PartSend, reply: RawReply, request_id: str, started: float, usual: UsualTime
    ) -> SendResult:
        now = self.clock.now()
        replica = send.replica
        meaning = judge_reply(reply, request_id, self.names)
        load = reported_load(reply, self.names)
        if load is not None and meaning is not ReplyMeaning.FOREIGN:
            replica.load_reported(now, *load)
        if meaning is ReplyMeaning.GOOD:
            self.replicas.answered(replica, now, now - started, usual.seconds)
        elif meaning is ReplyMeaning.MISPLACED:
            replica.misplaced(now)
        else:
            replica.failed(now)
        return SendResult(send, reply, meaning, False, f"{meaning.value} {reply.status}")

    def _note_error(self, replica: Replica, err: SendError) -> None:
        if err.busy:
            return
        if err.unsent:
            self.replicas.unreachable(replica, self.clock.now())
        else:
            replica.failed(self.clock.now())

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
