"""Time left for a request."""

from spindle_daemon.components.routed.routed_request import RoutedRequest
from spindle_decisions.routing.const import DEADLINE_MARGIN_S
from spindle_decisions.routing.route import Route
from spindle_decisions.util.units import MS_PER_S


def time_left_s(request: RoutedRequest, route: Route, now: float) -> float:
    """Return the seconds until the answer must be sent, by deadline and route timeout."""
    spent_s = now - request.arrived_at
    total_s = min(request.deadline_s, route.timeout_ms / MS_PER_S)
    return max(0.0, total_s - spent_s - DEADLINE_MARGIN_S)
