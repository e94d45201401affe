"""The bus event of a newer plan."""

import dataclasses

from spindle_decisions.routing.plan import RoutingPlan


@dataclasses.dataclass(frozen=True)
class PlanUpdated:
    """The instance took a newer plan; it is in force here from now on."""

    plan: RoutingPlan
