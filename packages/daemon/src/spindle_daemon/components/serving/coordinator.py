"""The serving path of one entry instance."""

import logging

import gevent

from spindle_daemon.components.serving import const
from spindle_daemon.components.serving.body_table import BodyTable
from spindle_daemon.components.serving.claims import Claims
from spindle_daemon.components.serving.conclusion import answer_for, refusal_for
from spindle_daemon.components.serving.metrics import ServingMetrics
from spindle_daemon.components.serving.prober import Prober
from spindle_daemon.components.serving.query_answer import QueryAnswer
from spindle_daemon.components.serving.query_call import QueryCall
from spindle_daemon.components.serving.query_runner import QueryRunner
from spindle_daemon.components.serving.request_log import RequestLog, create_request_log
from spindle_daemon.components.serving.run_answer import RunAnswer
from spindle_daemon.components.serving.run_call import RunCall
from spindle_daemon.components.serving.run_runner import RunRunner
from spindle_daemon.components.serving.timeline_notes import TimelineNotes
from spindle_daemon.components.serving.upstream_channel import UpstreamChannel
from spindle_daemon.components.serving.upstream_news import UpstreamNews
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
    """Answers callers' requests from the upstreams of the catalog in force."""

    def __init__(self, spindle: Spindle, board: UpstreamPool, metrics: ServingMetrics) -> None:
        self.spindle = spindle
        self.board = board
        self.metrics = metrics
        self.channels: dict[str, UpstreamChannel] = {}
        self.news = UpstreamNews(board, spindle.timeline)
        self.prober = Prober(spindle, board, self.channels, self.news, metrics)
        self.claims = Claims(spindle)
        self.started_at = spindle.clock.now()
        self.sequence = 0
        self.limits: dict[str, int] = {}
        self.listed_leaving: frozenset[str] = frozenset()

    @property
    def primed(self) -> bool:
        """Tell whether callers may be sent here.

        Every upstream was asked for its snapshots once, and the connection
        shares are settled: a query that comes earlier waits behind the one
        connection that a new instance may hold to each upstream.
        """
        now = self.spindle.clock.now()
        asked = self.prober.asked_all() or now - self.started_at > const.PRIMED_AFTER_S
        return asked and (self.board.shares is None or self.board.shares.is_settled(now))

    def take_catalog(self, event: CatalogUpdated) -> None:
        """Use a newer catalog from now on."""
        now = self.spindle.clock.now()
        self.board.update_catalog(event.index, now)
        self.board.on_platform_list(self.listed_leaving)
        self._follow_channels()
        self.prober.follow()
        for service in event.index.services:
            self.board.grant_free_slots(service, now)

    def take_live(self, event: LiveInstancesChanged) -> None:
        """Share connections with the entry instances that live."""
        if self.board.shares is None:
            return
        live = {
            item.instance: (item.incarnation, item.leaving)
            for item in event.live
            if item.role == ROLE_ENTRY
        }
        self.board.shares.update_instances(live, self.spindle.clock.now())
        self.refresh_shares()

    def take_platform_list(self, event: PlatformListChanged) -> None:
        """Send no new work to upstreams that the platform lists as leaving."""
        self.listed_leaving = event.leaving
        for state in self.board.on_platform_list(event.leaving):
            _LOGGER.info("serving: %s drains, told by the platform", state.name)
            self.spindle.timeline.add(
                EventKind.DRAIN_SEEN, "told by the platform", upstream=state.name
            )

    def refresh_shares(self) -> None:
        """Work out the connection shares again."""
        for state in self.board.update_connection_shares(self.spindle.clock.now()):
            self.channels[state.name].shrink(state.connection_share)
            self.spindle.timeline.add(
                EventKind.SHARE_CHANGED,
                f"{state.connection_share} connections",
                upstream=state.name,
            )

    def keep_shares(self) -> None:
        """Refresh the shares for ever, as they also change with time; report limits."""
        while True:
            gevent.sleep(const.SHARES_PERIOD_S)
            self.refresh_shares()
            self._report_limits()

    def _report_limits(self) -> None:
        for state in self.board.states.values():
            limit = int(state.limit.value)
            if self.limits.setdefault(state.name, limit) != limit:
                self.limits[state.name] = limit
                self.spindle.timeline.add(
                    EventKind.LIMIT_CHANGED, f"{limit} at once", upstream=state.name
                )

    def stop(self) -> None:
        """Record what is left, stop probing, close all connections; nothing is in flight."""
        self.claims.finish(const.STOP_RECORDS_S)
        self.prober.stop()
        for channel in self.channels.values():
            channel.close()

    def next_request_id(self) -> str:
        """Return an id that no other request of any instance has."""
        self.sequence += 1
        name = self.spindle.settings.instance.name
        return f"{name}.{self.spindle.incarnation:x}.{self.sequence:x}"

    def begin(self, group: str) -> RequestLog:
        """Count the arrival of a request, before anything can go wrong with it."""
        found = self.board.index.groups.get(group)
        return create_request_log(
            self.spindle, self.metrics, self.next_request_id(), found or Group(UNKNOWN_GROUP)
        )

    def query(
        self, call: QueryCall, log: RequestLog, caller: CallerConnection
    ) -> QueryAnswer | None:
        """Answer a query; raise a `RefusalError`; return `None` when the caller has gone."""
        group = self._group(call)
        deadline_ms = call.deadline_ms or group.deadline_ms
        plan = QuerySpec(
            group=group.name,
            deadline=log.arrived_at + deadline_ms / const.MS_PER_S,
            only_service=call.only,
            pinned=self.spindle.settings.serving.snapshot_pinning,
        )
        runner = QueryRunner(
            log.request_id,
            plan,
            BodyTable(call.query),
            self.board,
            self.channels,
            self.news,
            self.prober.hurry,
            TimelineNotes(self.spindle.timeline, log.request_id),
            self.spindle.clock,
        )
        caller.watch_disconnect(runner.caller_gone)
        try:
            result = runner.run()
        finally:
            caller.unwatch()
        log.took(result)
        if result.end is QueryEndReason.CALLER_GONE:
            log.finished(QueryOutcome.CALLER_GONE)
            return None
        least = group.min_coverage if call.min_coverage is None else call.min_coverage
        if not result.covered or result.coverage < least:
            raise refusal_for(result, least)
        whole = result.end is QueryEndReason.COMPLETE
        log.finished(QueryOutcome.ANSWERED if whole else QueryOutcome.PARTIAL)
        version, age_s = self.board.index.catalog.version, self.spindle.catalog.age_s()
        return answer_for(result, log.request_id, version, age_s)

    def run(self, call: RunCall, log: RequestLog) -> RunAnswer:
        """Run a non-idempotent request at most once; raise a `RefusalError`.

        A caller that goes away does not stop it: the outcome is recorded.
        """
        group = self.board.index.groups.get(call.group)
        if group is None:
            raise UnknownGroupError(f"no group {call.group}")
        if group.kind is not GroupKind.REQUEST:
            raise BadRequestError(f"group {call.group} takes queries only")
        attempt = log.request_id
        log.known_as(call.request_id)
        deadline_ms = call.deadline_ms or group.deadline_ms
        runner = RunRunner(
            call,
            self._owner(group, call.key),
            attempt,
            log.arrived_at + deadline_ms / const.MS_PER_S,
            self.claims,
            self.board,
            self.channels,
            self.news,
            self.spindle,
        )
        try:
            answer = runner.run()
        finally:
            log.costs = runner.costs
        log.finished(QueryOutcome.ANSWERED)
        return answer

    def _owner(self, group: Group, key: str) -> str:
        """Return the owner of a key in the epoch that is served, else in the newest one."""
        choice = self.board.choose_snapshot(group.name)
        epoch = choice.snapshot.epoch if choice is not None and choice.is_complete else group.epoch
        names = [service.name for service in self.board.index.services_of(group.name, epoch)]
        if not names:
            raise NotRunError(f"group {group.name} has no services in epoch {epoch}")
        return service_for_key(key, names)

    def _group(self, call: QueryCall) -> Group:
        group = self.board.index.groups.get(call.group)
        if group is None:
            raise UnknownGroupError(f"no group {call.group}")
        if call.only:
            service = self.board.index.services.get(call.only)
            if service is None or service.group != call.group:
                raise UnknownGroupError(f"no service {call.only} in group {call.group}")
        elif group.kind is not GroupKind.QUERY:
            raise BadRequestError(f"group {call.group} takes requests to one service only")
        return group

    def _follow_channels(self) -> None:
        for name in [name for name in self.channels if name not in self.board.states]:
            self.channels.pop(name).close()
        for name, state in self.board.states.items():
            upstream = state.upstream
            channel = self.channels.get(name)
            if channel is None or (channel.host, channel.port) != (upstream.host, upstream.port):
                if channel is not None:
                    channel.close()
                channel = self.channels[name] = UpstreamChannel(upstream.host, upstream.port)
            channel.shrink(state.connection_share)
