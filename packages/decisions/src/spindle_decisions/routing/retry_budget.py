"""The budget of repeated requests towards one service."""

from collections import deque

from spindle_decisions.routing import const
from spindle_decisions.routing.retry_budget_limits import RetryBudgetLimits


class RetryBudget:
    """Bounds what this instance sends beyond the first of each request, in any window.

    All instances share the bound of a service and do not see each other's repeats.
    Each takes the ratio of its own requests, which adds up over all of them, and its
    share of the fixed part.
    """

    def __init__(self, bounds: RetryBudgetLimits) -> None:
        self.bounds = bounds
        self.bucket_s = bounds.window_s / const.BUDGET_BUCKETS
        self.buckets: deque[list[int]] = deque()
        self.requests = 0
        self.repeats = 0

    def requested(self, now: float) -> None:
        """Count a request for the service."""
        self._bucket(now)[1] += 1
        self.requests += 1

    def take(self, now: float, instances: int, fixed: bool = True) -> bool:
        """Count a repeat if the budget allows it; return whether it does.

        Without `fixed` only the part that follows the requests may be used.
        """
        bucket = self._bucket(now)
        most = self.bounds.ratio * const.BUDGET_RATIO_FRACTION * self.requests
        if fixed:
            most += self.bounds.burst * const.BUDGET_BURST_FRACTION / max(1, instances)
        if self.repeats + 1 > most:
            return False
        bucket[2] += 1
        self.repeats += 1
        return True

    def _bucket(self, now: float) -> list[int]:
        number = int(now / self.bucket_s)
        if not self.buckets or self.buckets[-1][0] != number:
            self.buckets.append([number, 0, 0])
        while self.buckets[0][0] < number - const.BUDGET_BUCKETS:
            _, requests, repeats = self.buckets.popleft()
            self.requests -= requests
            self.repeats -= repeats
        return self.buckets[-1]
