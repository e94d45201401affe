"""Budget of retries and hedges to one service."""

from collections import deque

from spindle_decisions.routing import const
from spindle_decisions.routing.retry_budget_limits import RetryBudgetLimits


class RetryBudget:
    """Limits the retries and hedges of this instance in any time window.

    All instances share the limits of a service and do not see each other's retries.
    Each uses the ratio of its own requests, which adds up over the instances, and its
    share of the burst.
    """

    def __init__(self, limits: RetryBudgetLimits) -> None:
        self.limits = limits
        self.bucket_s = limits.window_s / const.BUDGET_BUCKETS
        # Per bucket: its number, requests and retries.
        self.buckets: deque[list[int]] = deque()
        self.requests = 0
        self.retries = 0

    def record_request(self, now: float) -> None:
        """Count a request to the service, without its retries."""
        self._current_bucket(now)[1] += 1
        self.requests += 1

    def try_acquire(self, now: float, sharers: int, with_burst: bool = True) -> bool:
        """Count a retry or hedge if the budget allows it; return whether it does.

        `sharers` is the number of instances that share the burst. Without `with_burst`
        only the ratio of the requests may be used.
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
