"""An adaptive limit on the requests in flight at one upstream."""

MIN_LIMIT = 1.0
HEADROOM_FACTOR = 2.0
QUEUEING_TOLERANCE = 1.5
DECREASE_FACTOR = 0.9
SHED_DECREASE_FACTOR = 0.7
INCREASE_STEP = 0.2
BASELINE_RISE_WEIGHT = 0.002
BASELINE_FALL_WEIGHT = 0.2
SMOOTHING_WEIGHT = 0.1
CLIP_FACTOR = 3.0


class AdaptiveConcurrencyLimit:
    """Limits how many requests this instance has in flight at an upstream (AIMD).

    Several instances share the slots of an upstream without seeing each other's
    use, so each adapts its limit to the latencies that it observes. The limit
    grows by a fixed step per latency while answers take about as long as those
    of an idle upstream. It shrinks by a factor when latencies show queueing or
    the upstream sheds load, at most once per latency, since one burst shows in
    many answers. Latencies are clipped and smoothed, so that a single straggler
    does not count as queueing. `baseline_s` estimates the latency of an idle
    upstream: it falls quickly and rises slowly. The limit is at most `HEADROOM_FACTOR` times the
    slots, which keeps them busy while answers are on the network.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.max_value = max(MIN_LIMIT, slots * HEADROOM_FACTOR)
        self.value = float(max(MIN_LIMIT, slots))
        self.baseline_s = 0.0
        self.smoothed_s = 0.0
        self.decreased_at = float("-inf")

    def on_success(self, latency_s: float, in_flight: int, now: float) -> None:
        """Adapt to an answer; `in_flight` counts this instance's requests, this one included."""
        if self.baseline_s == 0.0:
            self.baseline_s = self.smoothed_s = latency_s
        clipped_s = min(latency_s, CLIP_FACTOR * self.baseline_s)
        step = clipped_s - self.baseline_s
        self.baseline_s += step * (BASELINE_RISE_WEIGHT if step > 0 else BASELINE_FALL_WEIGHT)
        self.smoothed_s += SMOOTHING_WEIGHT * (clipped_s - self.smoothed_s)
        if self.smoothed_s > self.baseline_s * QUEUEING_TOLERANCE:
            self._decrease(DECREASE_FACTOR, self.smoothed_s, now)
        elif in_flight >= self.value - 1.0:
            self.value = min(self.max_value, self.value + INCREASE_STEP / self.value)

    def on_shed(self, now: float) -> None:
        """Shrink the limit because the upstream refused a request for lack of capacity."""
        self._decrease(SHED_DECREASE_FACTOR, self.baseline_s, now)

    def _decrease(self, factor: float, min_interval_s: float, now: float) -> None:
        if now - self.decreased_at < min_interval_s:
            return
        self.decreased_at = now
        self.value = max(MIN_LIMIT, self.value * factor)
