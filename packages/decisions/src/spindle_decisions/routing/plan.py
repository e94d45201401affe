"""The routing plan."""

import msgspec

from spindle_decisions.routing.caller_limits import CallerLimits
from spindle_decisions.routing.route import Route
from spindle_decisions.routing.routed_service import RoutedService


class RoutingPlan(msgspec.Struct, frozen=True):
    """All routes and services under one version; the highest version is in force."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[RoutedService, ...] = ()
    limits: CallerLimits = CallerLimits()


EMPTY_PLAN = RoutingPlan(version=0)
