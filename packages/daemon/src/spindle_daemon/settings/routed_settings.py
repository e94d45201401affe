"""Settings of routed requests."""

import dataclasses

from spindle_daemon.settings.endpoint import Endpoint


@dataclasses.dataclass(frozen=True)
class RoutedSettings:
    """Where readiness is asked or operators call, and the bounds that are agreed.

    `ready_listen` is present for the role `entry`, `operator_listen` for `control`.
    `stop_ms` is how long a process may take to stop. The repeats that a service may
    get in any `budget_window_ms` are `budget_ratio` of its requests and `budget_burst`.
    """

    ready_listen: Endpoint | None
    operator_listen: Endpoint | None
    stop_ms: int
    budget_ratio: float
    budget_window_ms: int
    budget_burst: int
