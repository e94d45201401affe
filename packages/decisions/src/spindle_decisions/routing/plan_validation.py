"""Validation of a routing plan."""

from spindle_decisions.exceptions import PlanError
from spindle_decisions.routing.plan import RoutingPlan
from spindle_decisions.routing.route import Route

MAX_QUOTED_CHARS = 100


def validate_plan(plan: RoutingPlan) -> None:
    """Raise `PlanError`, naming the route, if the plan is invalid."""
    if plan.version <= 0:
        raise PlanError(f"plan version is {plan.version}, must be above 0")
    names = {service.name for service in plan.services}
    if len(names) != len(plan.services):
        raise PlanError("two services of the plan have the same name")
    host_prefixes: set[tuple[str, str]] = set()
    for route in plan.routes:
        _validate_route(route, names)
        host_prefix = (route.host.lower(), route.prefix)
        if host_prefix in host_prefixes:
            raise PlanError(
                f"route {_quoted(route.name)}: another route has the same host and prefix"
            )
        host_prefixes.add(host_prefix)


def _validate_route(route: Route, names: set[str]) -> None:
    referenced = {item.service for item in route.services} | set(route.shards)
    unknown = sorted(referenced - names)
    if unknown:
        raise PlanError(f"route {_quoted(route.name)}: unknown service {_quoted(unknown[0])}")
    if bool(route.services) == bool(route.shards):
        raise PlanError(f"route {_quoted(route.name)}: must have either services or shards")
    if len(set(route.shards)) != len(route.shards):
        raise PlanError(f"route {_quoted(route.name)}: a shard is listed twice")
    if not route.host or not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        raise PlanError(
            f"route {_quoted(route.name)}: host is empty or prefix does not start and end with /"
        )
    if route.timeout_ms <= 0:
        raise PlanError(
            f"route {_quoted(route.name)}: timeout is {route.timeout_ms} ms, must be above 0"
        )
    _validate_weights(route)


def _validate_weights(route: Route) -> None:
    weights = [item.weight for item in route.services]
    if any(weight < 0 for weight in weights):
        raise PlanError(f"route {_quoted(route.name)}: weight of a service is below 0")
    if weights and sum(weights) <= 0:
        raise PlanError(f"route {_quoted(route.name)}: weights of the services add up to 0")


def _quoted(text: str) -> str:
    return repr(text[:MAX_QUOTED_CHARS])
