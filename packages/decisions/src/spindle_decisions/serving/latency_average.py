"""A moving average of observed latency."""

WEIGHT = 0.2
INITIAL_S = 0.02
CLIP_FACTOR = 4.0
UNFINISHED_FACTOR = 2.0
FRESH_S = 5.0
HALF_LIFE_S = 5.0


class LatencyAverage:
    """An exponentially weighted moving average, in seconds.

    A sample counts as at most `CLIP_FACTOR` times the average, so that a single
    straggler does not pass for a slow replica. Without samples for `FRESH_S`
    the average fades, so that a replica that was slow is tried again.
    """

    def __init__(self) -> None:
        self.value_s = INITIAL_S
        self.samples = 0
        self.seen_at = float("-inf")

    def observe(self, latency_s: float, now: float) -> None:
        """Take in one latency; the first replaces the initial guess."""
        if self.samples:
            average = self.at(now)
            clipped_s = min(latency_s, CLIP_FACTOR * average)
            self.value_s = average + WEIGHT * (clipped_s - average)
        else:
            self.value_s = latency_s
        self.samples += 1
        self.seen_at = now

    def observe_unfinished(self, elapsed_s: float, now: float) -> None:
        """Take in a request cancelled after `elapsed_s`; it can only raise the average.

        How long it would have taken is not known; a multiple of what it took so
        far keeps a slow replica from looking as fast as the hedges it causes.
        """
        guess_s = UNFINISHED_FACTOR * elapsed_s
        if guess_s > self.at(now):
            self.observe(guess_s, now)

    def at(self, now: float) -> float:
        """Return the average, faded when it is old."""
        age_s = now - self.seen_at
        if not self.samples or age_s <= FRESH_S:
            return self.value_s
        return float(self.value_s * 0.5 ** ((age_s - FRESH_S) / HALF_LIFE_S))
