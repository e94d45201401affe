"""Health checks of upstreams that said that they are leaving and are listed as ready."""

import gevent

from spindle_daemon.components.routed import const
from spindle_daemon.components.routed.attempt_error import AttemptError
from spindle_daemon.components.routed.reply_classifier import says_leaving
from spindle_daemon.components.routed.upstream_client import UpstreamClient
from spindle_daemon.core.clock import Clock
from spindle_decisions.routing.replica import Replica
from spindle_decisions.routing.replica_pool import ReplicaPool

METHOD_GET = "GET"
STATUS_OK = 200


class LeavingProber:
    """Finds upstreams that started again under their id without a trace in the list.

    No request may be spent on finding that out; a health check is none. `health_paths` maps
    services to the paths of their health checks.
    """

    def __init__(self, clock: Clock, client: UpstreamClient, replicas: ReplicaPool) -> None:
        self.clock = clock
        self.client = client
        self.replicas = replicas
        self.health_paths: dict[str, str] = {}

    def probe_due(self) -> None:
        """Check the upstreams that have been leaving for longer than the list lags."""
        now = self.clock.now()
        due = [
            replica
            for replica in self.replicas.replicas.values()
            if replica.leaving_since is not None
            and now - replica.leaving_since > const.LEAVING_RECHECK_S
            and not replica.listed.draining
        ]
        gevent.joinall([gevent.spawn(self._probe, replica) for replica in due])

    def _probe(self, replica: Replica) -> None:
        path = self.health_paths.get(replica.listed.service)
        if path is None or replica.is_at_connection_limit():
            return
        names = self.client.header_names
        head = f"{METHOD_GET} {path} HTTP/1.1\r\nHost: {replica.listed.host}\r\n\r\n"
        try:
            with gevent.Timeout(const.HEALTH_CHECK_TIMEOUT_S):
                reply = self.client.pool(replica).exchange(
                    METHOD_GET, head.encode(), const.KEEP_ALIVE_MAX_S, lambda _reply: True
                )
        except (AttemptError, gevent.Timeout):
            return
        is_same = reply.header_values.get(names.upstream_id, "") == replica.upstream_id
        if reply.status == STATUS_OK and is_same and not says_leaving(reply, names):
            replica.record_staying()
            self.client.notice_log.log_staying(replica, self.clock.now())
