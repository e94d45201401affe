"""Routed requests: forwards the requests of callers to upstreams."""

from typing import TYPE_CHECKING

from spindle_daemon.components.fleet.entry_desk import EntryFleetCoordinator
from spindle_daemon.components.fleet.plan_updated import PlanUpdated
from spindle_daemon.components.routed.application import RoutedApplication
from spindle_daemon.components.routed.coordinator import RoutedCoordinator
from spindle_daemon.components.routed.readiness_application import ReadinessApplication
from spindle_daemon.components.routed.request_log import RoutedRequestLog
from spindle_daemon.components.routed.routed_stats import RoutedStats
from spindle_daemon.components.routed.stop import RoutedShutdown
from spindle_daemon.core.platform_adapter import PlatformAdapter
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.http_limits import HttpLimits
from spindle_daemon.helpers.http_limits_handler import LimitsHandler
from spindle_daemon.helpers.http_server import NoDelayServer, create_http_server
from spindle_daemon.helpers.lazy_metrics import register_lazily
from spindle_decisions.routing.caller_limits import CallerLimits
from spindle_decisions.util.units import MS_PER_S

if TYPE_CHECKING:
    from spindle_daemon.components.routed.routed_collector import RoutedCollector


def setup(spindle: Spindle, adapter: PlatformAdapter, fleet: EntryFleetCoordinator) -> None:
    """Start the endpoints for callers and the load balancer; register the graceful shutdown."""
    entry, routed = spindle.settings.entry, spindle.settings.routed
    assert entry is not None
    assert routed is not None
    assert routed.ready_listen is not None
    coordinator = RoutedCoordinator(spindle, routed, adapter, fleet)
    stats = RoutedStats()
    register_lazily(lambda: _collector(stats, coordinator))
    log = RoutedRequestLog(spindle.clock, stats, spindle.timeline)
    application = RoutedApplication(spindle, coordinator, adapter.headers, log)
    server = create_http_server(entry.listen, application, LimitsHandler)
    server.limits = _limits(CallerLimits(), entry.max_callers)

    def update_limits(event: PlanUpdated) -> None:
        server.limits = _limits(event.plan.limits, entry.max_callers)

    spindle.bus.listen(PlanUpdated, update_limits)
    server.start()
    _start_readiness_server(spindle, adapter, coordinator)
    shutdown = RoutedShutdown(spindle, application, coordinator, server, routed.stop_ms)
    spindle.add_stop_hook(shutdown.run)


def _start_readiness_server(
    spindle: Spindle, adapter: PlatformAdapter, coordinator: RoutedCoordinator
) -> NoDelayServer:
    routed = spindle.settings.routed
    assert routed is not None
    assert routed.ready_listen is not None
    app = ReadinessApplication(
        adapter.paths.ready, lambda: coordinator.is_ready() and not spindle.leaving
    )
    server = create_http_server(routed.ready_listen, app)
    server.start()
    return server


def _limits(limits: CallerLimits, max_callers: int) -> HttpLimits:
    return HttpLimits(
        max_body_bytes=limits.max_body_bytes,
        max_callers=max_callers,
        header_timeout_s=limits.header_timeout_ms / MS_PER_S,
        body_timeout_s=limits.header_timeout_ms / MS_PER_S,
        idle_timeout_s=limits.idle_timeout_ms / MS_PER_S,
    )


def _collector(stats: RoutedStats, coordinator: RoutedCoordinator) -> "RoutedCollector":
    from spindle_daemon.components.routed.routed_collector import RoutedCollector

    return RoutedCollector(stats, coordinator)
