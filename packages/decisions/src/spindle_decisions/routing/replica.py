"""What this instance knows of one upstream."""

from spindle_decisions.routing import const
from spindle_decisions.routing.listed_upstream import ListedUpstream


class Replica:
    """Own requests in flight, pace, failures and reported load of an upstream.

    `pace` is the moving average of its answer times over the usual time of the
    route, so that routes of different work compare; it returns to 1 with time. `connection_share`
    is how many connections this instance may hold to it.
    """

    def __init__(self, listed: ListedUpstream) -> None:
        self.listed = listed
        self.listed_now = True
        self.connection_share = 1
        self.in_flight: dict[int, float] = {}
        self.pace = 1.0
        self.pace_at = 0.0
        self.failing = 0.0
        self.failing_at = 0.0
        self.failures_in_row = 0
        self.ejected_until = 0.0
        self.cut_until = 0.0
        self.reported = 0
        self.reported_at = -const.LOAD_REPORT_MAX_AGE_S
        self.warm_at = 0.0

    @property
    def upstream_id(self) -> str:
        """Return the identity of the upstream."""
        return self.listed.upstream_id

    def usable(self) -> bool:
        """Return whether the list has it as ready."""
        return self.listed_now and not self.listed.draining

    def full(self) -> bool:
        """Return whether its share of connections is in use."""
        return len(self.in_flight) >= self.connection_share

    def ejected(self, now: float) -> bool:
        """Return whether failures keep it out of the choice."""
        return now < self.ejected_until

    def sent(self, token: int, now: float) -> None:
        """Note a request that goes out."""
        self.in_flight[token] = now

    def ended(self, token: int) -> None:
        """Note that a request is no longer in flight."""
        self.in_flight.pop(token, None)

    def answered(self, now: float, took_s: float, usual_s: float) -> None:
        """Take in the time of a good answer."""
        ratio = min(const.MAX_LATENCY_FACTOR, took_s / usual_s)
        self.pace = (
            self.pace_now(now) * (1 - const.LATENCY_FACTOR_WEIGHT)
            + ratio * const.LATENCY_FACTOR_WEIGHT
        )
        self.pace_at = now
        self.failing = self.failing_now(now) * (1 - const.FAILURE_WEIGHT)
        self.failing_at = now
        self.failures_in_row = 0
        self.cut_until = 0.0

    def overtaken(self, now: float, waited_s: float, usual_s: float) -> None:
        """Take in that a request waited for so long and is not waited for any more."""
        ratio = min(const.MAX_LATENCY_FACTOR, waited_s / usual_s)
        if ratio <= self.pace_now(now):
            return
        self.pace = (
            self.pace_now(now) * (1 - const.LATENCY_FACTOR_WEIGHT)
            + ratio * const.LATENCY_FACTOR_WEIGHT
        )
        self.pace_at = now

    def unreachable(self, now: float) -> None:
        """Take in that no connection came about; it is left out at once."""
        self.failures_in_row = max(self.failures_in_row, const.EJECTION_FAILURES - 1)
        self.failed(now)
        self.cut_until = self.ejected_until

    def failed(self, now: float) -> None:
        """Take in a failure."""
        self.failing = self.failing_now(now) * (1 - const.FAILURE_WEIGHT) + const.FAILURE_WEIGHT
        self.failing_at = now
        self.failures_in_row += 1
        over = self.failures_in_row - const.EJECTION_FAILURES
        if over >= 0:
            self.ejected_until = now + min(
                const.EJECTION_MAX_S, const.EJECTION_INITIAL_S * 2 ** min(over, 8)
            )

    def misplaced(self, now: float) -> None:
        """Take in that another upstream answered at its address."""
        self.ejected_until = now + const.MISDIRECTED_HOLD_S
        self.failures_in_row = const.EJECTION_FAILURES

    def load_reported(self, now: float, running: int, waiting: int) -> None:
        """Take in the load that an answer reported."""
        self.reported = running + waiting
        self.reported_at = now

    def pace_now(self, now: float) -> float:
        """Return the pace, drawn towards 1 with time."""
        return 1.0 + (self.pace - 1.0) * _decay(
            now - self.pace_at, const.LATENCY_FACTOR_HALF_LIFE_S
        )

    def failing_now(self, now: float) -> float:
        """Return the share of failures of late, drawn towards 0 with time."""
        return self.failing * _decay(now - self.failing_at, const.FAILURE_HALF_LIFE_S)

    def expected_s(self, now: float, usual_s: float) -> float:
        """Return the time in which one more request is expected to be answered."""
        pace = self.pace_now(now)
        if now < self.warm_at:
            pace = max(pace, 1.5)
        load = len(self.in_flight)
        if now - self.reported_at < const.LOAD_REPORT_MAX_AGE_S:
            load = max(load, self.reported)
        work_s = usual_s * pace
        wait_s = work_s * max(0, load + 1 - self.listed.slots) / max(1, self.listed.slots)
        served = max(0.05, 1.0 - self.failing_now(now))
        return (work_s + wait_s + self.stuck_s(now, work_s)) / (served * served)

    def stuck_s(self, now: float, work_s: float) -> float:
        """Return how long its oldest request is out beyond what is usual, else 0."""
        if not self.in_flight:
            return 0.0
        age = now - next(iter(self.in_flight.values()))
        return age if age > const.STALLED_REQUEST_FACTOR * work_s else 0.0


def _decay(elapsed_s: float, half_life_s: float) -> float:
    return float(0.5 ** (max(0.0, elapsed_s) / half_life_s))
