"""The usual time of an answer."""

from spindle_decisions.routing import const


class MedianLatency:
    """A moving estimate of the median, in seconds, from single answer times."""

    def __init__(self, initial_s: float) -> None:
        self.seconds = initial_s

    def observe(self, latency_s: float) -> None:
        """Take in one answer."""
        if latency_s > self.seconds:
            self.seconds *= 1 + const.MEDIAN_STEP_RATIO
        else:
            self.seconds /= 1 + const.MEDIAN_STEP_RATIO

    def hedge_delay_s(self, aim_s: float) -> float:
        """Return after which time a second upstream should be asked."""
        delay_s = min(const.HEDGE_FACTOR * self.seconds, const.HEDGE_MAX_DELAY_RATIO * aim_s)
        return max(const.HEDGE_MIN_DELAY_S, delay_s)
