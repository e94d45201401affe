"""Lookup of the route of a request."""

from collections import defaultdict

from spindle_decisions.routing.plan import RoutingPlan
from spindle_decisions.routing.route import Route
from spindle_decisions.routing.routed_service import RoutedService


class RouteTable:
    """Routes of one plan by host and prefix.

    Example: with the prefixes `/a/` and `/a/b/`, the path `/a/b/c` matches the second.
    """

    def __init__(self, plan: RoutingPlan) -> None:
        self.plan = plan
        self.services: dict[str, RoutedService] = {item.name: item for item in plan.services}
        self.hosts: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in plan.routes:
            self.hosts[route.host.lower()][route.prefix] = route

    def find(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix of the path, or `None`."""
        prefixes = self.hosts.get(_host_without_port(host))
        if not prefixes:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def _host_without_port(host: str) -> str:
    name, separator, port = host.rpartition(":")
    if separator and port.isdecimal():
        host = name
    return host.lower()
