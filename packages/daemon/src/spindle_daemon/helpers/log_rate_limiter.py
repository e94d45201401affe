"""Rate limit of log lines."""


class LogRateLimiter:
    """Allows `lines_per_s` lines per second, and that many at once; counts suppressed lines."""

    def __init__(self, lines_per_s: float) -> None:
        self.lines_per_s = lines_per_s
        self.tokens = lines_per_s
        self.refilled_at = 0.0
        self.suppressed_count = 0

    def try_acquire(self, now: float) -> bool:
        """Return whether a line may be written now; count it as suppressed if not."""
        self.tokens = min(
            self.lines_per_s, self.tokens + (now - self.refilled_at) * self.lines_per_s
        )
        self.refilled_at = now
        if self.tokens < 1:
            self.suppressed_count += 1
            return False
        self.tokens -= 1
        return True

    def take_suppressed_count(self) -> int:
        """Return how many lines were suppressed since the last call."""
        count, self.suppressed_count = self.suppressed_count, 0
        return count
