"""Endpoint at which operators replace and read the plan of routes."""

from spindle_daemon.components.control.raft_driver import RaftDriver
from spindle_daemon.components.plan_api.application import PlanApplication
from spindle_daemon.components.plan_api.plan_desk import PlanManager
from spindle_daemon.core.platform_adapter import PlatformAdapter
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.http_limits import HttpLimits
from spindle_daemon.helpers.http_limits_handler import LimitsHandler
from spindle_daemon.helpers.http_server import create_http_server

LIMITS = HttpLimits(
    max_body_bytes=16 * 1024 * 1024,
    max_callers=256,
    header_timeout_s=5.0,
    body_timeout_s=10.0,
    idle_timeout_s=30.0,
)


def setup(spindle: Spindle, adapter: PlatformAdapter, driver: RaftDriver) -> None:
    """Start the endpoint for operators."""
    routed = spindle.settings.routed
    assert routed is not None
    assert routed.operator_listen is not None
    manager = PlanManager(spindle, adapter.plans, driver)
    app = PlanApplication(spindle, manager, adapter.paths)
    server = create_http_server(routed.operator_listen, app, LimitsHandler)
    server.limits = LIMITS
    server.start()
    spindle.add_stop_hook(server.close)
