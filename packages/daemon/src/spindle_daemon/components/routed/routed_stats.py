"""Counts of routed requests for the metrics."""

import bisect

# Upper bounds of the latency buckets, in seconds.
BUCKETS_S = (0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.25, 0.4, 0.75, 1.5, 3.0, 6.0)


class RoutedStats:
    """Requests by outcome, attempts by cause, and latencies by kind of route."""

    def __init__(self) -> None:
        self.outcomes: dict[str, int] = {}
        self.attempts: dict[str, int] = {}
        self.buckets: dict[str, list[int]] = {}
        self.total_latency_s: dict[str, float] = {}
        self.missing_parts = 0

    def record_finished(self, outcome: str, kind: str, took_s: float) -> None:
        """Count a finished request; `kind` is `gather`, `single` or `none`."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        counts = self.buckets.get(kind)
        if counts is None:
            counts = self.buckets[kind] = [0] * (len(BUCKETS_S) + 1)
        counts[bisect.bisect_left(BUCKETS_S, took_s)] += 1
        self.total_latency_s[kind] = self.total_latency_s.get(kind, 0.0) + took_s

    def record_attempts(self, cause: str, count: int) -> None:
        """Count attempts at upstreams."""
        if count:
            self.attempts[cause] = self.attempts.get(cause, 0) + count
