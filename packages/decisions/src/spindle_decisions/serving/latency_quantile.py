"""An estimated percentile of recent latencies."""

from hdrh.histogram import HdrHistogram

from spindle_decisions.util.units import US_PER_S

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 2
WINDOW_S = 5.0
REFRESH_INTERVAL_S = 0.25
MIN_SAMPLES = 50
RECORD_EVERY = 4


class LatencyQuantile:
    """The latency that `percentile` percent of the recent sub-requests stayed below.

    Two histograms rotate, so that the estimate covers the last one to two
    windows of `WINDOW_S`. It is recalculated at most once per
    `REFRESH_INTERVAL_S`, because that costs more than recording. Only one latency
    in `RECORD_EVERY` is recorded, which is accurate enough and costs a quarter.
    """

    def __init__(self, percentile: float, initial_s: float) -> None:
        self.percentile = percentile
        self.value_s = initial_s
        self.current = _histogram()
        self.previous = _histogram()
        self.rotated_at: float | None = None
        self.refreshed_at = 0.0
        self.skipped = 0

    def record(self, latency_s: float, now: float) -> None:
        """Record the latency of a sub-request, or the time until it was cancelled."""
        self.skipped = (self.skipped + 1) % RECORD_EVERY
        if self.skipped:
            return
        if self.rotated_at is None:
            self.rotated_at = now
        if now - self.rotated_at > WINDOW_S:
            self.previous, self.current = self.current, _histogram()
            self.rotated_at = now
        self.current.record_value(
            min(MAX_LATENCY_US, max(MIN_LATENCY_US, int(latency_s * US_PER_S)))
        )
        if now - self.refreshed_at > REFRESH_INTERVAL_S:
            self.refreshed_at = now
            self._refresh()

    def _refresh(self) -> None:
        merged = _histogram()
        merged.add(self.current)
        merged.add(self.previous)
        if merged.get_total_count() < MIN_SAMPLES:
            return
        self.value_s = merged.get_value_at_percentile(self.percentile) / US_PER_S


def _histogram() -> HdrHistogram:
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
