"""A budget of added work as a ratio of the needed work."""

DEFAULT_BURST = 10.0


class RatioBudget:
    """Grants `ratio` extra sub-requests per primary, saved up to `burst`.

    For example, a ratio of 0.05 lets one hedge go out per twenty primaries.
    """

    def __init__(self, ratio: float, burst: float = DEFAULT_BURST) -> None:
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst

    def deposit(self, primaries: int = 1) -> None:
        """Count primaries that were sent."""
        self.tokens = min(self.burst, self.tokens + self.ratio * primaries)

    def try_acquire(self, reserve: float = 0.0) -> bool:
        """Spend one extra sub-request; return false when only `spare` would be left or less."""
        if self.tokens < 1.0 + reserve:
            return False
        self.tokens -= 1.0
        return True
