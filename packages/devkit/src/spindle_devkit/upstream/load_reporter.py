"""Load reports of a stand-in upstream."""

from collections import deque

from spindle_devkit.upstream import const
from spindle_devkit.upstream.behavior import Behavior


class LoadReporter:
    """Records the number of requests in flight over time, for delayed or false reports."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.history: deque[tuple[float, int]] = deque([(0.0, 0)], maxlen=const.MAX_LOAD_HISTORY)

    def record_inflight(self, now: float, inflight: int) -> None:
        """Record the number of requests in flight at a monotonic time in seconds."""
        self.history.append((now, inflight))

    def inflight(self, behavior: Behavior, now: float) -> int:
        """Return the number of requests in flight to report."""
        if behavior.reported_load is not None:
            return behavior.reported_load
        if behavior.load_lag_s <= 0:
            return self.history[-1][1]
        reported_at = now - behavior.load_lag_s
        return next((count for at, count in reversed(self.history) if at <= reported_at), 0)

    def report(self, behavior: Behavior, now: float) -> str:
        """Return the value of the load header, `inflight/slots`."""
        return f"{self.inflight(behavior, now)}/{self.slots}"
