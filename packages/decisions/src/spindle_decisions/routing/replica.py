"""Health and load of one upstream as observed by this instance."""

import math

from spindle_decisions.routing import const
from spindle_decisions.routing.listed_upstream import ListedUpstream
from spindle_decisions.routing.rate_limit import RateLimit


class Replica:
    """Requests in flight, latency, failures and reported load of an upstream.

    The latency factor is the moving average of its latencies divided by the median
    latency of the route, so that routes with different work are comparable. It decays
    towards 1. `connection_share` is the number of connections that this instance may
    hold to the upstream. `rate_limit` is the limit that its last answer named, if any, and
    `rate_limit_sharers` the number of instances that share it. `leaving_since` is the time
    at which an answer first said that the upstream is leaving, and `resting_until` the time
    until which it asked for no requests.
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
        self.answered_at = -math.inf
        self.ejected_until = 0.0
        self.unreachable_until = 0.0
        self.misdirected_until = 0.0
        self.reported_load = 0
        self.reported_load_at = -const.LOAD_REPORT_MAX_AGE_S
        self.warmed_up_at = 0.0
        self.rate_limit: RateLimit | None = None
        self.rate_limit_sharers = 1
        self.leaving_since: float | None = None
        self.resting_until = 0.0

    @property
    def upstream_id(self) -> str:
        """Return the id of the upstream."""
        return self.listed.upstream_id

    def is_ready(self) -> bool:
        """Return whether the upstream is listed, and neither draining nor leaving."""
        return self.is_listed and not self.listed.draining and self.leaving_since is None

    def is_resting(self, now: float) -> bool:
        """Return whether the upstream asked for no requests until later."""
        return now < self.resting_until

    def update_listed(self, listed: ListedUpstream) -> None:
        """Apply a newer entry of the list.

        An upstream may start again under its id and address. It is not leaving any more then,
        which shows by a state that is ready again or by a new warm-up.
        """
        is_ready_again = self.listed.draining and not listed.draining
        if is_ready_again or listed.warmup_ms > self.listed.warmup_ms:
            self.record_staying()
        self.listed = listed

    def record_leaving(self, now: float) -> bool:
        """Record an answer that says that the upstream is leaving; return whether that is new."""
        if self.leaving_since is not None:
            return False
        self.leaving_since = now
        return True

    def record_staying(self) -> None:
        """Record that the upstream is not leaving, and asks for no rest."""
        self.leaving_since = None
        self.resting_until = 0.0

    def record_rest(self, now: float, seconds: float) -> None:
        """Record that the upstream asked for no requests for some seconds."""
        self.resting_until = max(self.resting_until, now + seconds)

    def is_at_connection_limit(self) -> bool:
        """Return whether the connection share is used up."""
        return len(self.in_flight) >= self.connection_share

    def is_rate_limited(self, now: float) -> bool:
        """Return whether the share of the rate limit is used up."""
        return self.rate_limit is not None and not self.rate_limit.has_token(now)

    def acquire_rate(self, now: float) -> None:
        """Count a request that is about to be sent against the rate limit, if any."""
        if self.rate_limit is not None:
            self.rate_limit.acquire(now)

    def release_rate(self) -> None:
        """Take back `acquire_rate` for a request of which no byte was sent."""
        if self.rate_limit is not None:
            self.rate_limit.release()

    def divide_rate_limit(self, sharers: int) -> None:
        """Set the number of instances that share a rate limit of this upstream."""
        self.rate_limit_sharers = sharers
        if self.rate_limit is not None:
            self.rate_limit.sharers = sharers

    def is_ejected(self, now: float) -> bool:
        """Return whether the upstream is ejected because of failures."""
        return now < self.ejected_until

    def record_sent(self, attempt_id: int, now: float) -> None:
        """Record that a request is sent."""
        self.in_flight[attempt_id] = now

    def record_finished(self, attempt_id: int) -> None:
        """Record that a request is no longer in flight."""
        self.in_flight.pop(attempt_id, None)

    def record_success(self, now: float, latency_s: float, median_s: float) -> None:
        """Record a good answer and its latency in seconds."""
        ratio = min(const.MAX_LATENCY_FACTOR, latency_s / median_s)
        self.last_latency_factor = (
            self.latency_factor(now) * (1 - const.LATENCY_FACTOR_WEIGHT)
            + ratio * const.LATENCY_FACTOR_WEIGHT
        )
        self.latency_factor_at = now
        self.last_failure_rate = self.failure_rate(now) * (1 - const.FAILURE_WEIGHT)
        self.failure_rate_at = now
        self.consecutive_failures = 0
        self.answered_at = now
        self.unreachable_until = 0.0

    def record_abandoned(self, now: float, waited_s: float, median_s: float) -> None:
        """Record that a request was abandoned after `waited_s` without an answer.

        The wait can only raise the latency factor.
        """
        ratio = min(const.MAX_LATENCY_FACTOR, waited_s / median_s)
        if ratio <= self.latency_factor(now):
            return
        self.last_latency_factor = (
            self.latency_factor(now) * (1 - const.LATENCY_FACTOR_WEIGHT)
            + ratio * const.LATENCY_FACTOR_WEIGHT
        )
        self.latency_factor_at = now

    def record_connect_failure(self, now: float) -> None:
        """Record that no connection could be opened; ejects the upstream at once."""
        self.consecutive_failures = max(self.consecutive_failures, const.EJECTION_FAILURES - 1)
        self.record_failure(now)
        self.unreachable_until = self.ejected_until

    def record_violation(self, now: float) -> None:
        """Record an answer that exceeded a limit; ejects the upstream at once."""
        self.consecutive_failures = max(self.consecutive_failures, const.EJECTION_FAILURES - 1)
        self.record_failure(now)

    def record_failure(self, now: float) -> None:
        """Record a failure; ejects the upstream after several in a row."""
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
        """Record that another upstream answered at its address; ejects this one."""
        self.misdirected_until = self.ejected_until = now + const.MISDIRECTED_HOLD_S
        self.consecutive_failures = const.EJECTION_FAILURES

    def record_load_report(self, now: float, running: int, waiting: int) -> None:
        """Record the load that an answer reported."""
        self.reported_load = running + waiting
        self.reported_load_at = now

    def record_rate_limit(self, now: float, sent_at: float, per_s: float | None) -> None:
        """Record the rate limit that an answer named, `None` if it named none.

        `sent_at` is the time at which its request was sent. Without a limit, the answer to
        a request that was sent before a limit was named is older than that limit.
        """
        limit = self.rate_limit
        if per_s is None:
            if limit is not None and sent_at >= limit.named_at:
                self.rate_limit = None
        elif limit is None:
            self.rate_limit = RateLimit(per_s, self.rate_limit_sharers, now)
        else:
            limit.per_s = per_s
            limit.named_at = now

    def latency_factor(self, now: float) -> float:
        """Return the latency factor, decayed towards 1."""
        return 1.0 + (self.last_latency_factor - 1.0) * _decay(
            now - self.latency_factor_at, const.LATENCY_FACTOR_HALF_LIFE_S
        )

    def failure_rate(self, now: float) -> float:
        """Return the recent failure rate, decayed towards 0."""
        return self.last_failure_rate * _decay(
            now - self.failure_rate_at, const.FAILURE_HALF_LIFE_S
        )

    def expected_latency_s(self, now: float, median_s: float) -> float:
        """Return the expected latency in seconds of one more request."""
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
        """Return the age in seconds of the oldest request if it is stalled, else 0."""
        if not self.in_flight:
            return 0.0
        age_s = now - next(iter(self.in_flight.values()))
        return age_s if age_s > const.STALLED_REQUEST_FACTOR * work_s else 0.0


def _decay(elapsed_s: float, half_life_s: float) -> float:
    return float(0.5 ** (max(0.0, elapsed_s) / half_life_s))
