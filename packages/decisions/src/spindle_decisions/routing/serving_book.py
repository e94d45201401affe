"""What all requests of an instance share."""

import random

from spindle_decisions.routing import const
from spindle_decisions.routing.budget_bounds import BudgetBounds
from spindle_decisions.routing.repeat_budget import RepeatBudget
from spindle_decisions.routing.replica_book import ReplicaBook
from spindle_decisions.routing.route import Route
from spindle_decisions.routing.usual_time import UsualTime
from spindle_decisions.util.units import MS_PER_S


class ServingBook:
    """Upstreams, usual times and budgets; `instances` counts those that share a budget."""

    def __init__(self, data_center: str, bounds: BudgetBounds, rng: random.Random) -> None:
        self.bounds = bounds
        self.rng = rng
        self.replicas = ReplicaBook(data_center, rng)
        self.instances = 1
        self.usuals: dict[str, UsualTime] = {}
        self.budgets: dict[str, RepeatBudget] = {}

    def usual(self, route: Route) -> UsualTime:
        """Return the usual time of one upstream's answer on a route."""
        usual = self.usuals.get(route.name)
        if usual is None:
            part = const.USUAL_FIRST_PART_GATHER if route.shards else const.USUAL_FIRST_PART_SINGLE
            usual = UsualTime(max(1, route.aim_ms) * part / MS_PER_S)
            self.usuals[route.name] = usual
        return usual

    def budget(self, service: str) -> RepeatBudget:
        """Return the budget of repeats towards a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = RepeatBudget(self.bounds)
        return budget

    def take_repeat(self, service: str, now: float) -> bool:
        """Take one repeat from the budget of a service; return whether there was one."""
        return self.budget(service).take(now, self.instances)

    def pick_service(self, route: Route) -> str:
        """Return the service of a request by the weights of its route."""
        if len(route.services) == 1:
            return route.services[0].service
        names = [item.service for item in route.services]
        return self.rng.choices(names, [item.weight for item in route.services])[0]
