"""Rate limit that an upstream named in its answers."""

from spindle_decisions.routing import const


class RateLimit:
    """A token bucket with this instance's share of the limit of all instances.

    `per_s` is the limit in requests per second, of which each of `sharers` instances uses
    an equal part. Example:

        limit = RateLimit(per_s=12.0, sharers=6, now=0.0)
        if limit.has_token(now):
            limit.acquire(now)

    It counts what this instance sends while the limit holds: `sent_count` attempts, of
    which `extra_count` were hedges and retries; `skipped_count` is how often the upstream
    was passed over for want of a token.
    """

    def __init__(self, per_s: float, sharers: int, now: float) -> None:
        self.per_s = per_s
        self.sharers = sharers
        self.named_at = now
        # The answer that named the limit has used a token.
        self.tokens = self.capacity() - 1.0
        self.refilled_at = now
        self.sent_count = 0
        self.extra_count = 0
        self.skipped_count = 0

    def share_per_s(self) -> float:
        """Return the requests per second that this instance may send."""
        return max(self.per_s, const.MIN_RATE_LIMIT_PER_S) / max(1, self.sharers)

    def capacity(self) -> float:
        """Return how many requests may be sent at once after a pause."""
        return max(1.0, self.share_per_s() * const.RATE_LIMIT_BURST_S)

    def has_token(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        self._refill(now)
        return self.tokens >= 1.0

    def acquire(self, now: float) -> None:
        """Take the token of a request that is sent."""
        self._refill(now)
        self.tokens -= 1.0

    def release(self) -> None:
        """Return the token of a request of which no byte was sent."""
        self.tokens += 1.0

    def record_sent(self, is_extra: bool) -> None:
        """Count an attempt that is sent."""
        self.sent_count += 1
        self.extra_count += is_extra

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self.refilled_at)
        self.refilled_at = now
        self.tokens = min(self.capacity(), self.tokens + elapsed_s * self.share_per_s())
