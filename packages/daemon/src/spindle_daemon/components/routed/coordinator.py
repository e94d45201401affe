"""Serving routed requests."""

import logging
from collections.abc import Callable

import gevent

from spindle_daemon.components.fleet.entry_desk import EntryDesk
from spindle_daemon.components.fleet.plan_taken import PlanTaken
from spindle_daemon.components.fleet.upstreams_taken import UpstreamsTaken
from spindle_daemon.components.routed.gather_runner import GatherRunner
from spindle_daemon.components.routed.owner_desk import OwnerDesk
from spindle_daemon.components.routed.routed_answer import RoutedAnswer
from spindle_daemon.components.routed.routed_request import RoutedRequest
from spindle_daemon.components.routed.run_record import RunRecord
from spindle_daemon.components.routed.send_crew import SendCrew
from spindle_daemon.components.routed.sender import Sender
from spindle_daemon.components.routed.single_runner import SingleRunner
from spindle_daemon.components.routed.spread_runner import SpreadRunner
from spindle_daemon.core.caller_connection import CallerConnection
from spindle_daemon.core.platform_adapter import PlatformAdapter
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.settings.routed_settings import RoutedSettings
from spindle_decisions.exceptions import NoPlanError, OverloadedError, UnknownRouteError
from spindle_decisions.routing.const import QUORUM_TIMEOUT_S, STARTUP_GRACE_S
from spindle_decisions.routing.plan import EMPTY_PLAN
from spindle_decisions.routing.retry_budget_limits import RetryBudgetLimits
from spindle_decisions.routing.route_table import RouteTable
from spindle_decisions.routing.routing_state import RoutingState
from spindle_decisions.util.units import MS_PER_S

_LOGGER = logging.getLogger(__name__)

LONGEST_AGE_S = 1e6


class RoutedCoordinator:
    """Follows plan and list, and runs each request to its end."""

    def __init__(
        self, spindle: Spindle, routed: RoutedSettings, adapter: PlatformAdapter, desk: EntryDesk
    ) -> None:
        self.spindle = spindle
        self.desk = desk
        self.table = RouteTable(EMPTY_PLAN)
        self.was_cut_off = False
        bounds = RetryBudgetLimits(
            routed.budget_ratio, routed.budget_window_ms / MS_PER_S, routed.budget_burst
        )
        sure_at = spindle.clock.now() + STARTUP_GRACE_S
        self.book = RoutingState(
            spindle.settings.instance.data_center, bounds, spindle.rng, sure_at
        )
        gevent.spawn_later(STARTUP_GRACE_S, self._share)
        self.sender = Sender(spindle.clock, adapter.headers, self.book.replicas)
        self.owners = OwnerDesk(spindle, self.sender, self.book)
        spindle.bus.listen(PlanTaken, self._take_plan)
        spindle.bus.listen(UpstreamsTaken, self._take_upstreams)

    def ready(self) -> bool:
        """Return whether requests can be served from a plan that is surely the newest."""
        holds = self.table.plan.version and self.book.replicas.replicas and self.desk.settled()
        return bool(holds) and not self.cut_off()

    def cut_off(self) -> bool:
        """Return whether callers are better served elsewhere.

        That is so when this instance hears no quorum, or reaches no other data centre,
        and cannot serve a route for that reason. While it can serve, it goes on.
        """
        now = self.spindle.clock.now()
        cut = self.desk.quorum_age_s() >= QUORUM_TIMEOUT_S or self.book.replicas.is_isolated(now)
        cut = cut and self.book.has_unservable_route(self.table.plan.routes, now)
        if cut != self.was_cut_off:
            self.was_cut_off = cut
            self._note_cut_off(now)
        return cut

    def _note_cut_off(self, now: float) -> None:
        event = "cut-off" if self.was_cut_off else "back-in-reach"
        fields = {
            "event": event,
            "quorum_age": round(self.desk.quorum_age_s(), 1),
            "dark": self.book.replicas.reachability.unreachable_data_centers(now),
        }
        _LOGGER.warning("routed: %s", event, extra=fields)

    def serve(
        self, request: RoutedRequest, caller: CallerConnection, record: RunRecord
    ) -> RoutedAnswer | None:
        """Return the answer, `None` if the caller left; raises `RefusalError`."""
        if not self.table.plan.version or not self.desk.settled():
            raise NoPlanError("no plan is known yet that is surely in force")
        route = self.table.find(request.sent.host, request.sent.target)
        if route is None:
            raise UnknownRouteError("no route for this host and path")
        record.route = route.name
        record.beliefs = self._beliefs()
        if not self.book.admit_request(route, self.spindle.clock.now()):
            raise OverloadedError("too few upstreams can be reached")
        if route.shards and self.book.uses_shard_owners and len(self.desk.peers) > 1:
            spread = SpreadRunner(self.owners, self.desk.peers, route, request, record)
            return watched(spread.run, caller, spread.caller_left)
        crew = SendCrew(self.spindle.clock, self.sender, request, record)
        runner_type = GatherRunner if route.shards else SingleRunner
        runner = runner_type(crew, self.book, route)
        return watched(runner.run, caller, crew.caller_left)

    def _beliefs(self) -> dict[str, object]:
        now = self.spindle.clock.now()
        return {
            "plan": self.table.plan.version,
            "list_age": round(min(self.desk.keeper.age_s(now), LONGEST_AGE_S), 1),
            "quorum_age": round(self.desk.quorum_age_s(), 1),
            "instances": self.book.instances,
        }

    def _take_plan(self, event: PlanTaken) -> None:
        self.table = RouteTable(event.plan)
        self.book.shard_services = frozenset(
            name for item in event.plan.routes for name in item.shards
        )
        self._share()

    def _take_upstreams(self, event: UpstreamsTaken) -> None:
        self.book.instances = event.instances
        self.book.replicas.update_upstreams(self.spindle.clock.now(), event.held.upstreams)
        self._share()

    def _share(self) -> None:
        bounds = {item.name: item.max_connections for item in self.table.plan.services}
        self.book.divide_connections(bounds, self.spindle.clock.now())
        self.sender.set_shares(self.book.replicas.replicas)


def watched(
    run: Callable[[], RoutedAnswer | None], caller: CallerConnection, on_left: Callable[[], None]
) -> RoutedAnswer | None:
    """Run a request while its caller is watched."""
    caller.watch_disconnect(on_left)
    try:
        return run()
    finally:
        caller.unwatch()
