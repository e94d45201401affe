"""A bound on log lines."""


class LogRateLimiter:
    """Allows so many lines a second, with a second's worth at once, and counts the others."""

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self.left = per_s
        self.at = 0.0
        self.left_out = 0

    def allows(self, now: float) -> bool:
        """Return whether a line may be written now."""
        self.left = min(self.per_s, self.left + (now - self.at) * self.per_s)
        self.at = now
        if self.left < 1:
            self.left_out += 1
            return False
        self.left -= 1
        return True

    def take_left_out(self) -> int:
        """Return how many lines were left out since the last call."""
        count, self.left_out = self.left_out, 0
        return count
