"""The decisions of one request that a single upstream answers."""

from spindle_decisions.routing import attempt_cause, const
from spindle_decisions.routing.replica import Replica
from spindle_decisions.routing.route import Route
from spindle_decisions.routing.routing_state import RoutingState
from spindle_decisions.routing.upstream_attempt import UpstreamAttempt, next_attempt_id
from spindle_decisions.util.units import MS_PER_S

# Sends that reached no upstream are not attempts, but they end as well.
MAX_NOT_SENT = 4


class SingleExecution:
    """Chooses an upstream, hedges and repeats only where that is allowed.

    A request that is not idempotent goes out again only if every upstream that may
    have got it said that it did not run. `ran` tells whether it may have run;
    "not run" may be answered only while it is false.
    """

    def __init__(self, route: Route, book: RoutingState, now: float, limit_s: float) -> None:
        self.route = route
        self.book = book
        self.service = book.pick_service(route)
        self.usual = book.usual(route)
        self.hedge_at = now + self.usual.hedge_after_s(route.aim_ms / MS_PER_S)
        self.end_at = now + limit_s
        self.hedged = not route.idempotent
        self.tried: list[Replica] = []
        self.unsent_count = 0
        self.out: dict[int, UpstreamAttempt] = {}
        self.sent_at: dict[int, float] = {}
        self.ran = False
        self.attempts = 0

    def start(self, now: float) -> UpstreamAttempt | None:
        """Return the first send, or `None` if no upstream may be used."""
        self.book.budget(self.service).requested(now)
        return self._send(attempt_cause.FIRST, now)

    def answered(self, token: int, now: float) -> None:
        """Take in a good answer."""
        self.out.pop(token)
        self.ran = True
        self.usual.add(now - self.sent_at.pop(token))

    def unsent(self, token: int, now: float) -> UpstreamAttempt | None:
        """Take in that no byte of a send left; return the next send."""
        cause = self.out.pop(token).cause
        self.attempts -= 1
        self.unsent_count += 1
        if self.unsent_count > MAX_NOT_SENT or self.out:
            return None
        return self._send(cause, now, paid=True)

    def not_run(self, token: int, now: float) -> UpstreamAttempt | None:
        """Take in that the upstream did not run it; return the next send."""
        self.out.pop(token)
        return None if self.out else self._send(attempt_cause.RETRY, now)

    def failed(self, token: int, now: float) -> UpstreamAttempt | None:
        """Take in a failure after which it may have run; return the next send."""
        self.out.pop(token)
        self.ran = True
        if not self.route.idempotent or self.out:
            return None
        return self._send(attempt_cause.RETRY, now)

    def tick(self, now: float) -> UpstreamAttempt | None:
        """Return a hedge if it is due."""
        if self.hedged or now < self.hedge_at or not self.out:
            return None
        self.hedged = True
        return self._send(attempt_cause.HEDGE, now)

    def wake_at(self) -> float:
        """Return the time of the next `tick`."""
        return self.end_at if self.hedged else min(self.hedge_at, self.end_at)

    def _send(self, cause: str, now: float, paid: bool = False) -> UpstreamAttempt | None:
        if self.attempts >= self.route.max_attempts or self.end_at - now < const.MIN_ATTEMPT_TIME_S:
            return None
        replica = self.book.replicas.choose(
            self.service, now, self.usual.seconds, tuple(self.tried)
        )
        if replica is None:
            return None
        free = paid or cause == attempt_cause.FIRST
        if not free and not self.book.take_repeat(self.service, now):
            return None
        send = UpstreamAttempt(next_attempt_id(), 0, replica, cause)
        self.tried.append(replica)
        self.attempts += 1
        self.out[send.token] = send
        self.sent_at[send.token] = now
        return send
