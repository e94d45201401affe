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

    def __init__(self, limits: RetryBudgetLimits) -> None:
        self.limits = limits
        self.bucket_s = limits.window_s / const.BUDGET_BUCKETS
        self.buckets: deque[list[int]] = deque()
        self.requests = 0
        self.retries = 0

    def record_request(self, now: float) -> None:
        """Count a request for the service."""
        self._current_bucket(now)[1] += 1
        self.requests += 1

    def try_acquire(self, now: float, sharers: int, with_burst: bool = True) -> bool:
        """Count a repeat if the budget allows it; return whether it does.

        Without `fixed` only the part that follows the requests may be used.
        """
        bucket = self._current_bucket(now)
        limit = self.limits.ratio * const.BUDGET_RATIO_FRACTION * self.requests
        if with_burst:
            limit += self.limits.burst * const.BUDGET_BURST_FRACTION / max(1, sharers)
        if self.retries + 1 > limit:
            return False
        bucket[2] += 1
        self.retries += 1
        return True

    def _current_bucket(self, now: float) -> list[int]:
        number = int(now / self.bucket_s)
        if not self.buckets or self.buckets[-1][0] != number:
            self.buckets.append([number, 0, 0])
        while self.buckets[0][0] < number - const.BUDGET_BUCKETS:
            _, requests, retries = self.buckets.popleft()
            self.requests -= requests
            self.retries -= retries
        return self.buckets[-1]
