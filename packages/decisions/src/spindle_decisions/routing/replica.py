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
        self.is_listed = True
        self.connection_share = 1
        self.in_flight: dict[int, float] = {}
        self.last_latency_factor = 1.0
        self.latency_factor_at = 0.0
        self.last_failure_rate = 0.0
        self.failure_rate_at = 0.0
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.unreachable_until = 0.0
        self.reported_load = 0
        self.reported_load_at = -const.LOAD_REPORT_MAX_AGE_S
        self.warmed_up_at = 0.0

    @property
    def upstream_id(self) -> str:
        """Return the identity of the upstream."""
        return self.listed.upstream_id

    def is_ready(self) -> bool:
        """Return whether the list has it as ready."""
        return self.is_listed and not self.listed.draining

    def is_at_connection_limit(self) -> bool:
        """Return whether its share of connections is in use."""
        return len(self.in_flight) >= self.connection_share

    def is_ejected(self, now: float) -> bool:
        """Return whether failures keep it out of the choice."""
        return now < self.ejected_until

    def record_sent(self, attempt_id: int, now: float) -> None:
        """Note a request that goes out."""
        self.in_flight[attempt_id] = now

    def record_finished(self, attempt_id: int) -> None:
        """Note that a request is no longer in flight."""
        self.in_flight.pop(attempt_id, None)

    def record_success(self, now: float, latency_s: float, median_s: float) -> None:
        """Take in the time of a good answer."""
        ratio = min(const.MAX_LATENCY_FACTOR, latency_s / median_s)
        self.last_latency_factor = (
            self.latency_factor(now) * (1 - const.LATENCY_FACTOR_WEIGHT)
            + ratio * const.LATENCY_FACTOR_WEIGHT
        )
        self.latency_factor_at = now
        self.last_failure_rate = self.failure_rate(now) * (1 - const.FAILURE_WEIGHT)
        self.failure_rate_at = now
        self.consecutive_failures = 0
        self.unreachable_until = 0.0

    def record_abandoned(self, now: float, waited_s: float, median_s: float) -> None:
        """Take in that a request waited for so long and is not waited for any more."""
        ratio = min(const.MAX_LATENCY_FACTOR, waited_s / median_s)
        if ratio <= self.latency_factor(now):
            return
        self.last_latency_factor = (
            self.latency_factor(now) * (1 - const.LATENCY_FACTOR_WEIGHT)
            + ratio * const.LATENCY_FACTOR_WEIGHT
        )
        self.latency_factor_at = now

    def record_connect_failure(self, now: float) -> None:
        """Take in that no connection came about; it is left out at once."""
        self.consecutive_failures = max(self.consecutive_failures, const.EJECTION_FAILURES - 1)
        self.record_failure(now)
        self.unreachable_until = self.ejected_until

    def record_failure(self, now: float) -> None:
        """Take in a failure."""
        self.last_failure_rate = (
            self.failure_rate(now) * (1 - const.FAILURE_WEIGHT) + const.FAILURE_WEIGHT
        )
        self.failure_rate_at = now
        self.consecutive_failures += 1
        excess_failures = self.consecutive_failures - const.EJECTION_FAILURES
        if excess_failures >= 0:
            self.ejected_until = now + min(
                const.EJECTION_MAX_S, const.EJECTION_INITIAL_S * 2 ** min(excess_failures, 8)
            )

    def record_misdirected(self, now: float) -> None:
        """Take in that another upstream answered at its address."""
        self.ejected_until = now + const.MISDIRECTED_HOLD_S
        self.consecutive_failures = const.EJECTION_FAILURES

    def record_load_report(self, now: float, running: int, waiting: int) -> None:
        """Take in the load that an answer reported."""
        self.reported_load = running + waiting
        self.reported_load_at = now

    def latency_factor(self, now: float) -> float:
        """Return the pace, drawn towards 1 with time."""
        return 1.0 + (self.last_latency_factor - 1.0) * _decay(
            now - self.latency_factor_at, const.LATENCY_FACTOR_HALF_LIFE_S
        )

    def failure_rate(self, now: float) -> float:
        """Return the share of failures of late, drawn towards 0 with time."""
        return self.last_failure_rate * _decay(
            now - self.failure_rate_at, const.FAILURE_HALF_LIFE_S
        )

    def expected_latency_s(self, now: float, median_s: float) -> float:
        """Return the time in which one more request is expected to be answered."""
        factor = self.latency_factor(now)
        if now < self.warmed_up_at:
            factor = max(factor, 1.5)
        request_count = len(self.in_flight)
        if now - self.reported_load_at < const.LOAD_REPORT_MAX_AGE_S:
            request_count = max(request_count, self.reported_load)
        work_s = median_s * factor
        wait_s = work_s * max(0, request_count + 1 - self.listed.slots) / max(1, self.listed.slots)
        success_rate = max(0.05, 1.0 - self.failure_rate(now))
        return (work_s + wait_s + self.stalled_s(now, work_s)) / (success_rate * success_rate)

    def stalled_s(self, now: float, work_s: float) -> float:
        """Return how long its oldest request is out beyond what is usual, else 0."""
        if not self.in_flight:
            return 0.0
        age = now - next(iter(self.in_flight.values()))
        return age if age > const.STALLED_REQUEST_FACTOR * work_s else 0.0


def _decay(elapsed_s: float, half_life_s: float) -> float:
    return float(0.5 ** (max(0.0, elapsed_s) / half_life_s))
