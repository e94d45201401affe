"""Limits of the retry budget."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RetryBudgetLimits:
    """Limits the retries and hedges to a service, summed over all instances.

    In any `window_s` seconds they may reach `ratio` times the requests plus `burst`.
    """

    ratio: float
    window_s: float
    burst: int
