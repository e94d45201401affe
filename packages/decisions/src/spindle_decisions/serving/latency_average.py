"""A moving average of observed latency."""

WEIGHT = 0.2
INITIAL_S = 0.02


class LatencyAverage:
    """An exponentially weighted moving average, in seconds."""

    def __init__(self) -> None:
        self.value_s = INITIAL_S
        self.samples = 0

    def observe(self, latency_s: float) -> None:
        """Take in one latency; the first replaces the initial guess."""
        weight = WEIGHT if self.samples else 1.0
        self.value_s += weight * (latency_s - self.value_s)
        self.samples += 1

    def observe_at_least(self, elapsed_s: float) -> None:
        """Take in a request cancelled after `elapsed_s`; it can only raise the average."""
        if elapsed_s > self.value_s:
            self.observe(elapsed_s)
