"""A budget for extra sub-requests in proportion to the primaries."""

DEFAULT_BURST = 10.0


class RatioBudget:
    """Token bucket that gains `ratio` tokens per primary and holds at most `burst`.

    Each extra sub-request costs one token. With a ratio of 0.05, for example,
    one hedge may be sent per twenty primaries. The bucket starts full.
    """

    def __init__(self, ratio: float, burst: float = DEFAULT_BURST) -> None:
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst

    def deposit(self, primaries: int = 1) -> None:
        """Add the tokens for primaries that were sent."""
        self.tokens = min(self.burst, self.tokens + self.ratio * primaries)

    def try_acquire(self, reserve: float = 0.0) -> bool:
        """Take one token; return false if fewer than `reserve` tokens would be left."""
        if self.tokens < 1.0 + reserve:
            return False
        self.tokens -= 1.0
        return True
