"""Coordinator of routed requests."""

import logging
from collections.abc import Callable

import gevent

from spindle_daemon.components.fleet.entry_desk import EntryFleetCoordinator
from spindle_daemon.components.fleet.plan_updated import PlanUpdated
from spindle_daemon.components.fleet.upstream_list_updated import UpstreamListUpdated
from spindle_daemon.components.routed.attempt_pool import AttemptPool
from spindle_daemon.components.routed.const import LEAVING_PROBE_INTERVAL_S
from spindle_daemon.components.routed.gather_runner import GatherRunner
from spindle_daemon.components.routed.leaving_prober import LeavingProber
from spindle_daemon.components.routed.open_requests import OpenRequests
from spindle_daemon.components.routed.owner_desk import OwnerRpc
from spindle_daemon.components.routed.owner_fanout_runner import OwnerFanoutRunner
from spindle_daemon.components.routed.quarantine_gate import QuarantineGate
from spindle_daemon.components.routed.request_trace import RequestTrace
from spindle_daemon.components.routed.routed_request import RoutedRequest
from spindle_daemon.components.routed.routed_response import RoutedResponse
from spindle_daemon.components.routed.single_runner import SingleRunner
from spindle_daemon.components.routed.upstream_client import UpstreamClient
from spindle_daemon.core.caller_connection import CallerConnection
from spindle_daemon.core.platform_adapter import PlatformAdapter
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.periodic import run_periodically
from spindle_daemon.settings.routed_settings import RoutedSettings
from spindle_decisions.exceptions import NoPlanError, OverloadedError, UnknownRouteError
from spindle_decisions.routing.const import QUORUM_TIMEOUT_S, STARTUP_GRACE_S
from spindle_decisions.routing.plan import EMPTY_PLAN
from spindle_decisions.routing.retry_budget_limits import RetryBudgetLimits
from spindle_decisions.routing.route import Route
from spindle_decisions.routing.route_table import RouteTable
from spindle_decisions.routing.routing_state import RoutingState
from spindle_decisions.util.units import MS_PER_S
from spindle_decisions.wire.caller_request import CallerRequest

_LOGGER = logging.getLogger(__name__)

# Limit of the list age in log lines, as it is infinite without a list.
MAX_AGE_S = 1e6
# Limit of the host and of the path that an error quotes.
MAX_QUOTED_CHARS = 48


class RoutedCoordinator:
    """Applies newer plans and lists of upstreams, and runs each request."""

    def __init__(
        self,
        spindle: Spindle,
        routed: RoutedSettings,
        adapter: PlatformAdapter,
        fleet: EntryFleetCoordinator,
    ) -> None:
        self.spindle = spindle
        self.fleet = fleet
        self.route_table = RouteTable(EMPTY_PLAN)
        self.was_isolated = False
        self.open_requests = OpenRequests()
        limits = RetryBudgetLimits(
            routed.budget_ratio, routed.budget_window_ms / MS_PER_S, routed.budget_burst
        )
        instances_known_at = spindle.clock.now() + STARTUP_GRACE_S
        self.routing_state = RoutingState(
            spindle.settings.instance.data_center, limits, spindle.rng, instances_known_at
        )
        gevent.spawn_later(STARTUP_GRACE_S, self._divide_connections)
        self.upstream_client = UpstreamClient(
            spindle.clock, adapter.headers, self.routing_state.replicas, fleet.quarantine
        )
        self.leaving_prober = LeavingProber(
            spindle.clock, self.upstream_client, self.routing_state.replicas
        )
        gevent.spawn(
            run_periodically,
            "routed",
            lambda: LEAVING_PROBE_INTERVAL_S,
            self.leaving_prober.probe_due,
        )
        self.quarantine_gate = QuarantineGate(spindle.clock, self.routing_state, fleet.quarantine)
        self.owner_rpc = OwnerRpc(
            spindle,
            self.upstream_client,
            self.routing_state,
            lambda: fleet.peers,
            self.quarantine_gate.is_blocked,
            self.open_requests,
        )
        spindle.bus.listen(PlanUpdated, self._on_plan_updated)
        spindle.bus.listen(UpstreamListUpdated, self._on_upstream_list_updated)

    def is_ready(self) -> bool:
        """Return whether requests can be served with a plan that was confirmed."""
        is_initialized = (
            self.route_table.plan.version
            and self.routing_state.replicas.replicas
            and self.fleet.was_plan_confirmed()
        )
        return bool(is_initialized) and not self.is_isolated()

    def is_isolated(self) -> bool:
        """Return whether other instances can serve callers better.

        That is the case if this instance has no contact to a quorum, or reaches no
        other data centre, and also cannot serve an active route. As long as it can
        serve all active routes, it continues.
        """
        now = self.spindle.clock.now()
        is_isolated = (
            self.fleet.quorum_age_s() >= QUORUM_TIMEOUT_S
            or self.routing_state.replicas.is_isolated(now)
        )
        is_isolated = is_isolated and self.routing_state.has_unservable_route(
            self.route_table.plan.routes, now
        )
        if is_isolated != self.was_isolated:
            self.was_isolated = is_isolated
            self._log_isolation_change(now)
        return is_isolated

    def _log_isolation_change(self, now: float) -> None:
        event = "cut-off" if self.was_isolated else "back-in-reach"
        fields = {
            "event": event,
            "quorum_age": round(self.fleet.quorum_age_s(), 1),
            "dark": self.routing_state.replicas.reachability.unreachable_data_centers(now),
        }
        _LOGGER.warning("routed: %s", event, extra=fields)

    def serve(
        self, request: RoutedRequest, caller: CallerConnection, trace: RequestTrace
    ) -> RoutedResponse | None:
        """Return the answer, `None` if the caller disconnected; raises `RefusalError`."""
        if not self.route_table.plan.version or not self.fleet.was_plan_confirmed():
            raise NoPlanError("no plan is known yet that is surely in force")
        route = self.route_table.find(request.caller_request.host, request.caller_request.target)
        if route is None:
            raise self._unknown_route(request.caller_request)
        trace.route = route.name
        trace.decision_inputs = self._decision_inputs()
        if not self.routing_state.admit_request(route, self.spindle.clock.now()):
            raise OverloadedError("too few upstreams can be reached")
        return self.quarantine_gate.run(
            request, route, lambda allowed: self._forward(request, allowed, caller, trace)
        )

    def _forward(
        self,
        request: RoutedRequest,
        route: Route,
        caller: CallerConnection,
        trace: RequestTrace,
    ) -> RoutedResponse | None:
        if route.shards and self.routing_state.uses_shard_owners and len(self.fleet.peers) > 1:
            fanout_runner = OwnerFanoutRunner(self.owner_rpc, route, request, trace)
            with self.open_requests.running(fanout_runner):
                return with_disconnect_watch(
                    fanout_runner.run, caller, fanout_runner.on_caller_gone
                )
        attempt_pool = AttemptPool(self.spindle.clock, self.upstream_client, request, trace)
        runner_type = GatherRunner if route.shards else SingleRunner
        runner = runner_type(attempt_pool, self.routing_state, route)
        with self.open_requests.running(runner):
            return with_disconnect_watch(runner.run, caller, attempt_pool.on_caller_gone)

    def _unknown_route(self, caller_request: CallerRequest) -> UnknownRouteError:
        path = caller_request.target.partition("?")[0]
        plan = self.route_table.plan
        return UnknownRouteError(
            f"no route for the host {caller_request.host[:MAX_QUOTED_CHARS]!r} and the path "
            f"{path[:MAX_QUOTED_CHARS]!r} in version {plan.version} of the plan, "
            f"which has {len(plan.routes)} routes"
        )

    def _decision_inputs(self) -> dict[str, object]:
        now = self.spindle.clock.now()
        return {
            "plan": self.route_table.plan.version,
            "list_age": round(min(self.fleet.list_cache.age_s(now), MAX_AGE_S), 1),
            "quorum_age": round(self.fleet.quorum_age_s(), 1),
            "instances": self.routing_state.instances,
        }

    def _on_plan_updated(self, event: PlanUpdated) -> None:
        self.route_table = RouteTable(event.plan)
        self.leaving_prober.health_paths = {
            item.name: item.health_path for item in event.plan.services
        }
        self.routing_state.shard_services = frozenset(
            name for item in event.plan.routes for name in item.shards
        )
        self._divide_connections()

    def _on_upstream_list_updated(self, event: UpstreamListUpdated) -> None:
        self.routing_state.instances = event.entry_instance_count
        self.routing_state.replicas.update_upstreams(
            self.spindle.clock.now(), event.upstream_list.upstreams
        )
        self._divide_connections()

    def _divide_connections(self) -> None:
        limits = {item.name: item.max_connections for item in self.route_table.plan.services}
        self.routing_state.divide_connections(limits, self.spindle.clock.now())
        self.upstream_client.set_connection_shares(self.routing_state.replicas.replicas)


def with_disconnect_watch(
    run: Callable[[], RoutedResponse | None],
    caller: CallerConnection,
    on_caller_gone: Callable[[], None],
) -> RoutedResponse | None:
    """Run a request; call `on_caller_gone` if its caller disconnects meanwhile."""
    caller.watch_disconnect(on_caller_gone)
    try:
        return run()
    finally:
        caller.unwatch()
