"""Bus event: a newer plan is in force."""

import dataclasses

from spindle_decisions.routing.plan import RoutingPlan


@dataclasses.dataclass(frozen=True)
class PlanUpdated:
    """The newer plan that is now in force on this instance."""

    plan: RoutingPlan
