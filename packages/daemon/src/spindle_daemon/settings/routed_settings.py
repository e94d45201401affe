"""Settings of routed requests."""

import dataclasses

from spindle_daemon.settings.endpoint import Endpoint


@dataclasses.dataclass(frozen=True)
class RoutedSettings:
    """Endpoints for readiness checks and operators, stop time and retry budget.

    `ready_listen` is present for the role `entry`, `operator_listen` for `control`.
    `stop_ms` is how long a process may take to stop. In any `budget_window_ms`, a service
    gets at most `budget_ratio` times its requests plus `budget_burst` as retries and hedges.
    """

    ready_listen: Endpoint | None
    operator_listen: Endpoint | None
    stop_ms: int
    budget_ratio: float
    budget_window_ms: int
    budget_burst: int
