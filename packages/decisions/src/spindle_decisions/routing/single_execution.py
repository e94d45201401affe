"""State machine of a request that one upstream answers."""

from spindle_decisions.routing import attempt_cause, const
from spindle_decisions.routing.replica import Replica
from spindle_decisions.routing.route import Route
from spindle_decisions.routing.routing_state import RoutingState
from spindle_decisions.routing.upstream_attempt import UpstreamAttempt, next_attempt_id
from spindle_decisions.util.units import MS_PER_S

# Limit of attempts of which no byte was sent, as they do not count as attempts.
MAX_NOT_SENT = 4


class SingleExecution:
    """Selects an upstream, and hedges and retries only where that is allowed.

    A request that is not idempotent is sent again only if every upstream that may
    have received it reported that it did not run. The caller may get "not run" as
    the response only while `may_have_run` is false.
    """

    def __init__(self, route: Route, state: RoutingState, now: float, limit_s: float) -> None:
        self.route = route
        self.state = state
        self.service = state.pick_service(route)
        self.median_latency = state.median_latency(route)
        self.hedge_at = now + self.median_latency.hedge_delay_s(route.aim_ms / MS_PER_S)
        self.end_at = now + limit_s
        self.hedged = not route.idempotent
        self.tried_replicas: list[Replica] = []
        self.not_sent_count = 0
        self.in_flight: dict[int, UpstreamAttempt] = {}
        self.sent_at: dict[int, float] = {}
        self.may_have_run = False
        self.attempts = 0

    def start(self, now: float) -> UpstreamAttempt | None:
        """Return the first attempt, or `None` if no upstream is available."""
        self.state.retry_budget(self.service).record_request(now)
        return self._start_attempt(attempt_cause.FIRST, now)

    def on_response(self, attempt_id: int, now: float) -> None:
        """Handle a good answer."""
        self.in_flight.pop(attempt_id)
        self.may_have_run = True
        self.median_latency.observe(now - self.sent_at.pop(attempt_id))

    def on_not_sent(self, attempt_id: int, now: float) -> UpstreamAttempt | None:
        """Handle an attempt of which no byte was sent; return the next attempt, if any."""
        attempt = self.in_flight.pop(attempt_id)
        attempt.replica.release_rate()
        self.attempts -= 1
        self.not_sent_count += 1
        if self.not_sent_count > MAX_NOT_SENT or self.in_flight:
            return None
        return self._start_attempt(attempt.cause, now, is_replacement=True)

    def on_not_run(self, attempt_id: int, now: float) -> UpstreamAttempt | None:
        """Handle the reply that the request did not run; return the next attempt, if any."""
        self.in_flight.pop(attempt_id)
        return None if self.in_flight else self._start_attempt(attempt_cause.RETRY, now)

    def on_failure(self, attempt_id: int, now: float) -> UpstreamAttempt | None:
        """Handle a failure after which the request may have run; return the next attempt."""
        self.in_flight.pop(attempt_id)
        self.may_have_run = True
        if not self.route.idempotent or self.in_flight:
            return None
        return self._start_attempt(attempt_cause.RETRY, now)

    def tick(self, now: float) -> UpstreamAttempt | None:
        """Return the hedge if it is due."""
        if self.hedged or now < self.hedge_at or not self.in_flight:
            return None
        self.hedged = True
        return self._start_attempt(attempt_cause.HEDGE, now)

    def next_tick_at(self) -> float:
        """Return the time of the next call of `tick`."""
        return self.end_at if self.hedged else min(self.hedge_at, self.end_at)

    def _start_attempt(
        self, cause: str, now: float, is_replacement: bool = False
    ) -> UpstreamAttempt | None:
        if self.attempts >= self.route.max_attempts or self.end_at - now < const.MIN_ATTEMPT_TIME_S:
            return None
        replica = self.state.replicas.select_replica(
            self.service,
            now,
            self.median_latency.seconds,
            tuple(self.tried_replicas),
            is_hedge=cause == attempt_cause.HEDGE,
        )
        if replica is None:
            return None
        is_budget_exempt = is_replacement or cause == attempt_cause.FIRST
        if not is_budget_exempt and not self.state.try_acquire_retry(self.service, now):
            return None
        replica.acquire_rate(now)
        attempt = UpstreamAttempt(next_attempt_id(), 0, replica, cause)
        self.tried_replicas.append(replica)
        self.attempts += 1
        self.in_flight[attempt.attempt_id] = attempt
        self.sent_at[attempt.attempt_id] = now
        return attempt
