"""Rate limit that an upstream named in its answers."""


class RateLimit:
    """The limit in requests per second, for all instances together.

    Counts what this instance sends while the limit holds: `sent_count` attempts, of which
    `extra_count` were hedges and retries.
    """

    def __init__(self, per_s: float, now: float) -> None:
        self.per_s = per_s
        self.named_at = now
        self.sent_count = 0
        self.extra_count = 0

    def record_sent(self, is_extra: bool) -> None:
        """Count an attempt that is sent."""
        self.sent_count += 1
        self.extra_count += is_extra
