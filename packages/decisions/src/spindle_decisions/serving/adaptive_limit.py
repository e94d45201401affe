"""The adaptive limit on requests in flight at one upstream."""

MIN_LIMIT = 1.0
HEADROOM_FACTOR = 2.0
QUEUEING_TOLERANCE = 1.5
DECREASE_FACTOR = 0.9
SHED_FACTOR = 0.7
INCREASE = 0.2
BASELINE_RISE = 0.002
BASELINE_FALL = 0.2
SMOOTHING = 0.1
CLIP_FACTOR = 3.0


class AdaptiveLimit:
    """How many requests this instance keeps in flight at an upstream.

    Several instances share the slots without seeing each other's use, so the
    limit follows what each observes: it grows by a fixed step while answers come
    at about the latency of an idle upstream, and shrinks by a factor when they
    show queueing or the upstream sheds. It shrinks at most once per latency, as
    one burst shows in many answers. Latencies are clipped and smoothed, so that a
    straggler does not pass for queueing. The bound is `HEADROOM_FACTOR` times
    the slots, which keeps them busy while answers travel.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.ceiling = max(MIN_LIMIT, slots * HEADROOM_FACTOR)
        self.value = float(max(MIN_LIMIT, slots))
        self.baseline_s = 0.0
        self.smooth_s = 0.0
        self.decreased_at = float("-inf")

    def answered(self, latency_s: float, inflight: int, now: float) -> None:
        """Take in an answer; `inflight` counts this instance's requests before it came."""
        if self.baseline_s == 0.0:
            self.baseline_s = self.smooth_s = latency_s
        clipped_s = min(latency_s, CLIP_FACTOR * self.baseline_s)
        step = clipped_s - self.baseline_s
        self.baseline_s += step * (BASELINE_RISE if step > 0 else BASELINE_FALL)
        self.smooth_s += SMOOTHING * (clipped_s - self.smooth_s)
        if self.smooth_s > self.baseline_s * QUEUEING_TOLERANCE:
            self._decrease(DECREASE_FACTOR, self.smooth_s, now)
        elif inflight >= self.value - 1.0:
            self.value = min(self.ceiling, self.value + INCREASE / self.value)

    def shed(self, now: float) -> None:
        """Take in that the upstream refused work for lack of capacity."""
        self._decrease(SHED_FACTOR, self.baseline_s, now)

    def _decrease(self, factor: float, pause_s: float, now: float) -> None:
        if now - self.decreased_at < pause_s:
            return
        self.decreased_at = now
        self.value = max(MIN_LIMIT, self.value * factor)
