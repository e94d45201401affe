"""Load of a fleet on upstreams that name a rate limit, in virtual time without a network."""

import random
from collections.abc import Mapping

from spindle_decisions.routing.gather_execution import GatherExecution
from spindle_decisions.routing.route import Route
from spindle_decisions.routing.routing_state import RoutingState
from spindle_decisions.routing.single_execution import SingleExecution
from spindle_decisions.routing.upstream_attempt import UpstreamAttempt

LATENCY_S = 0.01
TOLD_S = 0.5


class RateLimitLoad:
    """Requests that arrive at random at the instances of a fleet; upstreams answer at once.

    `limits` maps upstreams to the requests per second that they name in their answers; it
    may change between two calls of `run`. `arrivals` has the time of each request that
    reached an upstream, and `counted` those from instances that had got an answer with its
    limit `TOLD_S` before.
    """

    def __init__(
        self,
        states: list[RoutingState],
        route: Route,
        limits: Mapping[str, float],
        weights: list[float] | None = None,
    ) -> None:
        self.states = states
        self.route = route
        self.limits = dict(limits)
        self.weights = weights or [1.0] * len(states)
        self.rng = random.Random(5)
        self.now = 100.0
        self.arrivals: dict[str, list[float]] = {}
        self.counted: dict[str, list[float]] = {}
        # When an instance first got an answer with the limit of an upstream.
        self.told_at: dict[tuple[RoutingState, str], float] = {}
        self.answered = 0
        self.refused = 0

    def run(self, per_s: float, duration_s: float) -> None:
        """Let requests arrive for a while."""
        end_at = self.now + duration_s
        while (arrives_at := self.now + self.rng.expovariate(per_s)) < end_at:
            self.now = arrives_at
            state = self.rng.choices(self.states, self.weights)[0]
            if self.route.shards:
                self._gather(state)
            else:
                self._single(state)
        self.now = end_at

    def most_in_window(self, upstream_id: str, window_s: float) -> int:
        """Return the most counted requests of an upstream within `window_s`."""
        times = self.counted.get(upstream_id, [])
        return max((sum(at <= other < at + window_s for other in times) for at in times), default=0)

    def sent_between(self, upstream_ids: list[str], since: float, until: float) -> int:
        """Return how many requests reached some upstreams."""
        return sum(
            since <= at < until for name in upstream_ids for at in self.arrivals.get(name, ())
        )

    def _gather(self, state: RoutingState) -> None:
        gather = GatherExecution(self.route, state, self.now, 0.5)
        for attempt in gather.start(self.now):
            self._answer(state, attempt)
            gather.on_response(attempt.attempt_id, "part", self.now + LATENCY_S)
        self._count(gather.outcome is not None and gather.outcome.answered)

    def _single(self, state: RoutingState) -> None:
        single = SingleExecution(self.route, state, self.now, 2.0)
        attempt = single.start(self.now)
        if attempt is not None:
            self._answer(state, attempt)
            single.on_response(attempt.attempt_id, self.now + LATENCY_S)
        self._count(attempt is not None)

    def _answer(self, state: RoutingState, attempt: UpstreamAttempt) -> None:
        replica = attempt.replica
        self.arrivals.setdefault(replica.upstream_id, []).append(self.now)
        limit = self.limits.get(replica.upstream_id)
        if limit is not None:
            told_at = self.told_at.setdefault((state, replica.upstream_id), self.now)
            if self.now - told_at >= TOLD_S:
                self.counted.setdefault(replica.upstream_id, []).append(self.now)
        replica.record_rate_limit(self.now + LATENCY_S, self.now, limit)

    def _count(self, answered: bool) -> None:
        self.answered += answered
        self.refused += not answered
