"""Moving estimate of the median latency."""

from spindle_decisions.routing import const


class MedianLatency:
    """Estimates the median latency in seconds.

    Each answer moves the estimate by a fixed ratio, up if it took longer and down if not.
    """

    def __init__(self, initial_s: float) -> None:
        self.seconds = initial_s

    def observe(self, latency_s: float) -> None:
        """Update the estimate with the latency of one answer."""
        if latency_s > self.seconds:
            self.seconds *= 1 + const.MEDIAN_STEP_RATIO
        else:
            self.seconds /= 1 + const.MEDIAN_STEP_RATIO

    def hedge_delay_s(self, aim_s: float) -> float:
        """Return the delay in seconds before a hedge is sent."""
        delay_s = min(const.HEDGE_FACTOR * self.seconds, const.HEDGE_MAX_DELAY_RATIO * aim_s)
        return max(const.HEDGE_MIN_DELAY_S, delay_s)
