"""A moving average of observed latency."""

WEIGHT = 0.2
INITIAL_LATENCY_S = 0.02
CLIP_FACTOR = 4.0
CANCELLED_FACTOR = 2.0
DECAY_START_AGE_S = 5.0
HALF_LIFE_S = 5.0


class LatencyEwma:
    """An exponentially weighted moving average, in seconds.

    A sample counts as at most `CLIP_FACTOR` times the average, so that a single
    straggler does not pass for a slow replica. Without samples for `FRESH_S`
    the average fades, so that a replica that was slow is tried again.
    """

    def __init__(self) -> None:
        self.value_s = INITIAL_LATENCY_S
        self.samples = 0
        self.last_sample_at = float("-inf")

    def observe(self, latency_s: float, now: float) -> None:
        """Take in one latency; the first replaces the initial guess."""
        if self.samples:
            average = self.value_at(now)
            clipped_s = min(latency_s, CLIP_FACTOR * average)
            self.value_s = average + WEIGHT * (clipped_s - average)
        else:
            self.value_s = latency_s
        self.samples += 1
        self.last_sample_at = now

    def observe_cancelled(self, elapsed_s: float, now: float) -> None:
        """Take in a request cancelled after `elapsed_s`; it can only raise the average.

        How long it would have taken is not known; a multiple of what it took so
        far keeps a slow replica from looking as fast as the hedges it causes.
        """
        estimate_s = CANCELLED_FACTOR * elapsed_s
        if estimate_s > self.value_at(now):
            self.observe(estimate_s, now)

    def value_at(self, now: float) -> float:
        """Return the average, faded when it is old."""
        age_s = now - self.last_sample_at
        if not self.samples or age_s <= DECAY_START_AGE_S:
            return self.value_s
        return float(self.value_s * 0.5 ** ((age_s - DECAY_START_AGE_S) / HALF_LIFE_S))
