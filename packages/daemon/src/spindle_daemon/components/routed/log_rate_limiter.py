"""A bound on log lines."""


class LogRateLimiter:
    """Allows so many lines a second, with a second's worth at once, and counts the others."""

    def __init__(self, lines_per_s: float) -> None:
        self.lines_per_s = lines_per_s
        self.tokens = lines_per_s
        self.refilled_at = 0.0
        self.suppressed_count = 0

    def try_acquire(self, now: float) -> bool:
        """Return whether a line may be written now."""
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
        """Return how many lines were left out since the last call."""
        count, self.suppressed_count = self.suppressed_count, 0
        return count
