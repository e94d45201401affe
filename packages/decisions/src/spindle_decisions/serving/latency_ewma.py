"""An exponentially weighted moving average of observed latency."""

WEIGHT = 0.2
INITIAL_LATENCY_S = 0.02
CLIP_FACTOR = 4.0
CANCELLED_FACTOR = 2.0
DECAY_START_AGE_S = 5.0
HALF_LIFE_S = 5.0


class LatencyEwma:
    """The moving average of a replica's latency, in seconds.

    A sample counts as at most `CLIP_FACTOR` times the average, so that a single
    straggler does not make the replica look slow. Once the last sample is older
    than `DECAY_START_AGE_S`, the average decays with `HALF_LIFE_S`, so that a
    replica that was slow is tried again.
    """

    def __init__(self) -> None:
        self.value_s = INITIAL_LATENCY_S
        self.samples = 0
        self.last_sample_at = float("-inf")

    def observe(self, latency_s: float, now: float) -> None:
        """Add a sample; the first one replaces the initial estimate."""
        if self.samples:
            average = self.value_at(now)
            clipped_s = min(latency_s, CLIP_FACTOR * average)
            self.value_s = average + WEIGHT * (clipped_s - average)
        else:
            self.value_s = latency_s
        self.samples += 1
        self.last_sample_at = now

    def observe_cancelled(self, elapsed_s: float, now: float) -> None:
        """Add a request that was cancelled after `elapsed_s`; it can only raise the average.

        As its latency is unknown, it counts as `CANCELLED_FACTOR` times the
        elapsed time. Otherwise a slow replica, whose requests are cancelled when
        a hedge answers, would look as fast as the hedges.
        """
        estimate_s = CANCELLED_FACTOR * elapsed_s
        if estimate_s > self.value_at(now):
            self.observe(estimate_s, now)

    def value_at(self, now: float) -> float:
        """Return the average at `now`, decayed if the last sample is old."""
        age_s = now - self.last_sample_at
        if not self.samples or age_s <= DECAY_START_AGE_S:
            return self.value_s
        return float(self.value_s * 0.5 ** ((age_s - DECAY_START_AGE_S) / HALF_LIFE_S))
