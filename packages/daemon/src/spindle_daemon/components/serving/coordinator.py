"""The serving path of one entry instance."""

import logging

import gevent

from spindle_daemon.components.serving import const
from spindle_daemon.components.serving.body_cache import BodyCache
from spindle_daemon.components.serving.claims import ClaimManager
from spindle_daemon.components.serving.metrics import ServingMetrics
from spindle_daemon.components.serving.prober import Prober
from spindle_daemon.components.serving.query_answer import QueryAnswer
from spindle_daemon.components.serving.query_call import QueryCall
from spindle_daemon.components.serving.query_response import create_answer, create_refusal
from spindle_daemon.components.serving.query_runner import QueryRunner
from spindle_daemon.components.serving.request_stats import RequestStats, start_request_stats
from spindle_daemon.components.serving.run_answer import RunAnswer
from spindle_daemon.components.serving.run_call import RunCall
from spindle_daemon.components.serving.run_runner import NonIdempotentRunner
from spindle_daemon.components.serving.timeline_query_observer import TimelineQueryObserver
from spindle_daemon.components.serving.upstream_connection_pool import UpstreamConnectionPool
from spindle_daemon.components.serving.upstream_news import UpstreamReports
from spindle_daemon.core.caller_connection import CallerConnection
from spindle_daemon.core.catalog_updated import CatalogUpdated
from spindle_daemon.core.live_instances_changed import LiveInstancesChanged
from spindle_daemon.core.platform_list_changed import PlatformListChanged
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.settings.const import ROLE_ENTRY
from spindle_decisions.account.query_outcome import QueryOutcome
from spindle_decisions.catalog.group import Group, GroupKind
from spindle_decisions.exceptions import (
    BadRequestError,
    NotRunError,
    UnknownGroupError,
)
from spindle_decisions.serving.query_end_reason import QueryEndReason
from spindle_decisions.serving.query_spec import QuerySpec
from spindle_decisions.serving.service_hashing import service_for_key
from spindle_decisions.serving.upstream_pool import UpstreamPool
from spindle_decisions.timeline.event_kind import EventKind

_LOGGER = logging.getLogger(__name__)

UNKNOWN_GROUP = "unknown"


class ServingCoordinator:
    """Answers the requests of callers from the upstreams of the current catalog."""

    def __init__(self, spindle: Spindle, pool: UpstreamPool, metrics: ServingMetrics) -> None:
        self.spindle = spindle
        self.pool = pool
        self.metrics = metrics
        self.connection_pools: dict[str, UpstreamConnectionPool] = {}
        self.reports = UpstreamReports(pool, spindle.timeline)
        self.prober = Prober(spindle, pool, self.connection_pools, self.reports, metrics)
        self.claims = ClaimManager(spindle)
        self.started_at = spindle.clock.now()
        self.sequence = 0
        self.reported_limits: dict[str, int] = {}
        self.listed_leaving: frozenset[str] = frozenset()

    @property
    def is_ready(self) -> bool:
        """Return whether this instance may receive requests.

        It is ready when every upstream was probed once or `FIRST_PROBES_TIMEOUT_S`
        has passed, and the connection shares are settled. Before that it may hold
        only one connection to each upstream, so that queries would queue.
        """
        now = self.spindle.clock.now()
        probed = (
            self.prober.has_probed_all() or now - self.started_at > const.FIRST_PROBES_TIMEOUT_S
        )
        return probed and (self.pool.shares is None or self.pool.shares.is_settled(now))

    def update_catalog(self, event: CatalogUpdated) -> None:
        """Apply a newer catalog."""
        now = self.spindle.clock.now()
        self.pool.update_catalog(event.index, now)
        self.pool.on_platform_list(self.listed_leaving)
        self._update_connection_pools()
        self.prober.update_upstreams()
        for service in event.index.services:
            self.pool.grant_free_slots(service, now)

    def update_live_instances(self, event: LiveInstancesChanged) -> None:
        """Recalculate the connection shares for the live entry instances."""
        if self.pool.shares is None:
            return
        live = {
            item.instance: (item.incarnation, item.leaving)
            for item in event.live
            if item.role == ROLE_ENTRY
        }
        self.pool.shares.update_instances(live, self.spindle.clock.now())
        self.update_connection_shares()

    def update_platform_list(self, event: PlatformListChanged) -> None:
        """Stop sending requests to upstreams that the platform lists as leaving."""
        self.listed_leaving = event.leaving
        for state in self.pool.on_platform_list(event.leaving):
            _LOGGER.info("serving: upstream %s is listed as leaving by the platform", state.name)
            self.spindle.timeline.add(
                EventKind.DRAIN_SEEN, "told by the platform", upstream=state.name
            )

    def update_connection_shares(self) -> None:
        """Recalculate the connection shares and apply those that changed."""
        for state in self.pool.update_connection_shares(self.spindle.clock.now()):
            self.connection_pools[state.name].set_max_connections(state.connection_share)
            self.spindle.timeline.add(
                EventKind.SHARE_CHANGED,
                f"{state.connection_share} connections",
                upstream=state.name,
            )

    def update_shares_forever(self) -> None:
        """Recalculate the shares periodically, as they also depend on time, and report limits."""
        while True:
            gevent.sleep(const.SHARES_INTERVAL_S)
            self.update_connection_shares()
            self._report_limits()

    def _report_limits(self) -> None:
        for state in self.pool.states.values():
            limit = int(state.limit.value)
            if self.reported_limits.setdefault(state.name, limit) != limit:
                self.reported_limits[state.name] = limit
                self.spindle.timeline.add(
                    EventKind.LIMIT_CHANGED, f"{limit} at once", upstream=state.name
                )

    def stop(self) -> None:
        """Wait for pending outcomes, stop probing and close all connections.

        No request may be in flight.
        """
        self.claims.wait_for_records(const.RECORD_SHUTDOWN_TIMEOUT_S)
        self.prober.stop()
        for connection_pool in self.connection_pools.values():
            connection_pool.close()

    def next_request_id(self) -> str:
        """Return a request id that is unique across all instances."""
        self.sequence += 1
        name = self.spindle.settings.instance.name
        return f"{name}.{self.spindle.incarnation:x}.{self.sequence:x}"

    def begin_request(self, group: str) -> RequestStats:
        """Count the arrival of a request before it is parsed, so that none is missed."""
        found = self.pool.index.groups.get(group)
        return start_request_stats(
            self.spindle, self.metrics, self.next_request_id(), found or Group(UNKNOWN_GROUP)
        )

    def query(
        self, call: QueryCall, stats: RequestStats, caller: CallerConnection
    ) -> QueryAnswer | None:
        """Answer a query; return `None` if the caller disconnected.

        Raises a `RefusalError` if the query is refused or covers too few services.
        """
        group = self._find_query_group(call)
        deadline_ms = call.deadline_ms or group.deadline_ms
        spec = QuerySpec(
            group=group.name,
            deadline=stats.arrived_at + deadline_ms / const.MS_PER_S,
            only_service=call.only,
            pinned=self.spindle.settings.serving.snapshot_pinning,
        )
        runner = QueryRunner(
            stats.request_id,
            spec,
            BodyCache(call.query),
            self.pool,
            self.connection_pools,
            self.reports,
            self.prober.probe_now,
            TimelineQueryObserver(self.spindle.timeline, stats.request_id),
            self.spindle.clock,
        )
        caller.watch_disconnect(runner.on_caller_gone)
        try:
            result = runner.run()
        finally:
            caller.unwatch()
        stats.record_result(result)
        if result.end is QueryEndReason.CALLER_GONE:
            stats.record_finished(QueryOutcome.CALLER_GONE)
            return None
        min_coverage = group.min_coverage if call.min_coverage is None else call.min_coverage
        if not result.covered or result.coverage < min_coverage:
            raise create_refusal(result, min_coverage)
        is_complete = result.end is QueryEndReason.COMPLETE
        stats.record_finished(QueryOutcome.ANSWERED if is_complete else QueryOutcome.PARTIAL)
        version, age_s = self.pool.index.catalog.version, self.spindle.catalog.age_s()
        return create_answer(result, stats.request_id, version, age_s)

    def run(self, call: RunCall, stats: RequestStats) -> RunAnswer:
        """Run a non-idempotent request at most once; raise a `RefusalError` without an answer.

        The run continues if the caller disconnects, and its outcome is recorded.
        """
        group = self.pool.index.groups.get(call.group)
        if group is None:
            raise UnknownGroupError(f"group {call.group} is not in the catalog")
        if group.kind is not GroupKind.REQUEST:
            raise BadRequestError(f"group {call.group} accepts only queries")
        attempt = stats.request_id
        stats.set_request_id(call.request_id)
        deadline_ms = call.deadline_ms or group.deadline_ms
        runner = NonIdempotentRunner(
            call,
            self._service_for_key(group, call.key),
            attempt,
            stats.arrived_at + deadline_ms / const.MS_PER_S,
            self.claims,
            self.pool,
            self.connection_pools,
            self.reports,
            self.spindle,
        )
        try:
            answer = runner.run()
        finally:
            stats.costs = runner.costs
        stats.record_finished(QueryOutcome.ANSWERED)
        return answer

    def _service_for_key(self, group: Group, key: str) -> str:
        """Return the service of a key in the served epoch, or in the newest if none is served."""
        choice = self.pool.choose_snapshot(group.name)
        epoch = choice.snapshot.epoch if choice is not None and choice.is_complete else group.epoch
        names = [service.name for service in self.pool.index.services_of(group.name, epoch)]
        if not names:
            raise NotRunError(f"group {group.name} has no services in epoch {epoch}")
        return service_for_key(key, names)

    def _find_query_group(self, call: QueryCall) -> Group:
        group = self.pool.index.groups.get(call.group)
        if group is None:
            raise UnknownGroupError(f"group {call.group} is not in the catalog")
        if call.only:
            service = self.pool.index.services.get(call.only)
            if service is None or service.group != call.group:
                raise UnknownGroupError(f"service {call.only} is not in group {call.group}")
        elif group.kind is not GroupKind.QUERY:
            raise BadRequestError(
                f"group {call.group} accepts only queries that name one of its services"
            )
        return group

    def _update_connection_pools(self) -> None:
        for name in [name for name in self.connection_pools if name not in self.pool.states]:
            self.connection_pools.pop(name).close()
        for name, state in self.pool.states.items():
            upstream = state.upstream
            connection_pool = self.connection_pools.get(name)
            if connection_pool is None or (connection_pool.host, connection_pool.port) != (
                upstream.host,
                upstream.port,
            ):
                if connection_pool is not None:
                    connection_pool.close()
                connection_pool = self.connection_pools[name] = UpstreamConnectionPool(
                    upstream.host, upstream.port
                )
            connection_pool.set_max_connections(state.connection_share)
