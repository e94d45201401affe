"""The bound of repeated requests."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RetryBudgetLimits:
    """In any `window_s` a service may get `ratio` of its requests and `burst` as repeats."""

    ratio: float
    window_s: float
    burst: int
