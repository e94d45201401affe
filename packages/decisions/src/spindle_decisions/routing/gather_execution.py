"""State machine of one scatter-gather request."""

from collections.abc import Callable

from spindle_decisions.routing import attempt_cause, const
from spindle_decisions.routing.gather_outcome import GatherOutcome
from spindle_decisions.routing.gather_shard import GatherShard
from spindle_decisions.routing.route import Route
from spindle_decisions.routing.routing_state import RoutingState
from spindle_decisions.routing.upstream_attempt import UpstreamAttempt, next_attempt_id
from spindle_decisions.routing.waiting_attempt import WaitingAttempt
from spindle_decisions.util.units import MS_PER_S


class GatherExecution:
    """Sends to all shards, hedges and retries within the budget, and ends the request.

    A partial answer within the aim is worth the square of the share of parts that it
    has. A whole answer after the aim is worth only a small fraction of one within it. So
    once the least share of parts has arrived, the request ends at the aim at the
    latest, and before the aim only when no further part can arrive.

    Until the first part has arrived, only `max_unproven_extras` hedges and retries are
    sent; the others are held until then, and given up if it cannot arrive any more.

    A shard whose upstreams have no free connection waits for one if its turn comes soon
    enough; `wake` is called when it has come, and `tick` must follow. A request that is
    doomed before anything was sent sends nothing. Without `ends_at_aim` the request goes
    on until no further part can arrive. `margin_s` is reserved from the aim for the way
    of the answer. Example:

        gather = GatherExecution(route, state, now, limit_s)
        attempts = gather.start(now)
        gather.on_response(attempt_id, part, now)
        if gather.outcome is not None: ...
    """

    def __init__(
        self,
        route: Route,
        state: RoutingState,
        now: float,
        limit_s: float,
        wake: Callable[[], object] = lambda: None,
        ends_at_aim: bool = True,
        margin_s: float = const.RESPONSE_MARGIN_S,
        max_unproven_extras: int = const.UNPROVEN_EXTRA_ATTEMPTS,
    ) -> None:
        self.route = route
        self.state = state
        self.wake = wake
        self.ends_at_aim = ends_at_aim
        self.shards = [GatherShard(service) for service in route.shards]
        self.median_latency = state.median_latency(route)
        aim_s = route.aim_ms / MS_PER_S
        self.hedge_delay_s = self.median_latency.hedge_delay_s(aim_s)
        self.aim_at = now + max(0.0, aim_s - margin_s)
        self.end_at = now + limit_s
        self.missing = len(self.shards)
        self.max_missing = len(self.shards) - route.min_parts()
        self.given_up_count = 0
        self.max_unproven_extras = max_unproven_extras
        self.unproven_extra_count = 0
        self.outcome: GatherOutcome | None = None
        self.attempts: dict[int, UpstreamAttempt] = {}

    def start(self, now: float) -> list[UpstreamAttempt]:
        """Start the first attempts; return one for each shard that has a usable upstream.

        Nothing is started if too few shards can answer.
        """
        attempts = []
        for shard_index, shard in enumerate(self.shards):
            self.state.retry_budget(shard.service).record_request(now)
            attempts.append(self._start_attempt(shard_index, attempt_cause.FIRST, now))
        self._update_outcome(now)
        if self.outcome is not None and not self.outcome.answered:
            self._withdraw_attempts()
            return []
        return [attempt for attempt in attempts if attempt is not None]

    def on_response(self, attempt_id: int, part: object, now: float) -> None:
        """Store the part that a successful attempt returned."""
        attempt = self.attempts.pop(attempt_id)
        shard = self.shards[attempt.shard_index]
        sent_at = shard.in_flight.pop(attempt_id)
        if shard.part is None:
            shard.part = part
            self.missing -= 1
            self.median_latency.observe(now - sent_at)
        self._update_outcome(now)

    def on_failure(
        self, attempt_id: int, now: float, not_sent: bool = False, not_run: bool = False
    ) -> list[UpstreamAttempt]:
        """Handle a failed attempt; return the attempt that replaces it, if any.

        An attempt of which no byte was sent counts neither against `max_attempts` nor,
        when it is replaced, against the retry budget. `not_run` means that the upstream
        reported so: the request is not at fault, and its retry is not held.
        """
        attempt = self.attempts.pop(attempt_id)
        shard = self.shards[attempt.shard_index]
        shard.in_flight.pop(attempt_id)
        if not_sent:
            attempt.replica.release_rate()
        if shard.part is not None or self.outcome is not None:
            return []
        cause = attempt_cause.RETRY
        if not_sent:
            shard.not_sent_count += 1
            cause = attempt.cause
        replacement = None
        if not_sent or not_run:
            replacement = self._start_attempt(attempt.shard_index, cause, now, not_sent)
        elif self._holds_extra_attempts():
            shard.retry_held = True
        else:
            replacement = self._start_extra_attempt(attempt.shard_index, cause, now)
        self._give_up_held_retries()
        self._update_outcome(now)
        return [] if replacement is None else [replacement]

    def tick(self, now: float) -> list[UpstreamAttempt]:
        """Update the outcome for the time `now`; return the hedges that are due."""
        attempts = self._start_waiting(now)
        if self.outcome is None:
            attempts += self._start_due_extra_attempts(now)
            self._give_up_held_retries()
        self._update_outcome(now)
        return attempts

    def next_tick_at(self) -> float:
        """Return the time of the next call of `tick`."""
        times = [self.end_at]
        sent_at = [shard.sent_at for shard in self.shards if shard.may_hedge()]
        if sent_at and not self._holds_extra_attempts():
            times.append(min(sent_at) + self.hedge_delay_s)
        has_enough = self.ends_at_aim and self.missing <= self.max_missing
        if has_enough or any(shard.waiting for shard in self.shards):
            times.append(self.aim_at)
        return min(times)

    def close(self) -> None:
        """End all waiting; free connections that were offered are offered to others."""
        for shard in self.shards:
            waiting, shard.waiting = shard.waiting, None
            if waiting is not None and waiting.notified:
                self.state.replicas.connection_queue.notify(shard.service)

    def _holds_extra_attempts(self) -> bool:
        has_part = self.missing < len(self.shards)
        return not has_part and self.unproven_extra_count >= self.max_unproven_extras

    def _start_extra_attempt(
        self, shard_index: int, cause: str, now: float
    ) -> UpstreamAttempt | None:
        attempt = self._start_attempt(shard_index, cause, now)
        self.unproven_extra_count += attempt is not None
        return attempt

    def _start_due_extra_attempts(self, now: float) -> list[UpstreamAttempt]:
        """Start the retries that were held and the hedges that are due, as far as allowed."""
        attempts = []
        for shard_index, shard in enumerate(self.shards):
            if self._holds_extra_attempts():
                break
            if shard.retry_held:
                shard.retry_held = False
                cause = attempt_cause.RETRY
            elif shard.may_hedge() and now >= shard.sent_at + self.hedge_delay_s:
                shard.hedged = True
                cause = attempt_cause.HEDGE
            else:
                continue
            attempt = self._start_extra_attempt(shard_index, cause, now)
            if attempt is not None:
                attempts.append(attempt)
        return attempts

    def _give_up_held_retries(self) -> None:
        """Give up the retries that are held if no attempt is left that could bring a part."""
        if self.attempts or not self._holds_extra_attempts():
            return
        if any(shard.waiting for shard in self.shards):
            return
        for shard in self.shards:
            if shard.retry_held:
                shard.retry_held = False
                self._give_up(shard)

    def _start_attempt(
        self, shard_index: int, cause: str, now: float, is_replacement: bool = False
    ) -> UpstreamAttempt | None:
        shard = self.shards[shard_index]
        replica = None
        if shard.attempt_count() < self.route.max_attempts and now < self.end_at:
            replica = self.state.replicas.select_replica(
                shard.service,
                now,
                self.median_latency.seconds,
                tuple(shard.tried_replicas),
                is_hedge=cause == attempt_cause.HEDGE,
            )
        is_budget_exempt = is_replacement or cause == attempt_cause.FIRST
        if (
            replica is not None
            and not is_budget_exempt
            and not self.state.try_acquire_retry(shard.service, now)
        ):
            replica = None
        if replica is None:
            if not shard.in_flight and not self._wait(shard, cause, now, is_replacement):
                self._give_up(shard)
            return None
        replica.acquire_rate(now)
        attempt = UpstreamAttempt(next_attempt_id(), shard_index, replica, cause)
        shard.tried_replicas.append(replica)
        shard.in_flight[attempt.attempt_id] = now
        shard.sent_at = now
        self.attempts[attempt.attempt_id] = attempt
        return attempt

    def _give_up(self, shard: GatherShard) -> None:
        if not shard.given_up:
            shard.given_up = True
            self.given_up_count += 1

    def _wait(self, shard: GatherShard, cause: str, now: float, is_replacement: bool) -> bool:
        """Queue an attempt for a connection; return whether its turn is expected in time."""
        wait_s = self.state.replicas.connection_wait_s(
            shard.service, now, self.median_latency.seconds, tuple(shard.tried_replicas)
        )
        max_wait_s = const.CONNECTION_WAIT_RATIO * (self.aim_at - now)
        if shard.attempt_count() >= self.route.max_attempts or wait_s > max_wait_s:
            return False
        waiting = WaitingAttempt(cause, is_replacement)
        shard.waiting = waiting

        def offer() -> bool:
            if shard.waiting is not waiting:
                return False
            waiting.notified = True
            self.wake()
            return True

        self.state.replicas.connection_queue.add(shard.service, offer)
        return True

    def _start_waiting(self, now: float) -> list[UpstreamAttempt]:
        """Start the attempts that have a connection now; at the aim, give up the others."""
        attempts = []
        for shard_index, shard in enumerate(self.shards):
            waiting = shard.waiting
            if waiting is None or self.outcome is not None:
                continue
            if waiting.notified:
                shard.waiting = None
                attempt = self._start_attempt(
                    shard_index, waiting.cause, now, waiting.is_replacement
                )
                if attempt is not None:
                    attempts.append(attempt)
            elif now >= self.aim_at:
                shard.waiting = None
                self._give_up(shard)
        return attempts

    def _withdraw_attempts(self) -> None:
        for attempt in self.attempts.values():
            attempt.replica.release_rate()
        self.attempts.clear()
        for shard in self.shards:
            shard.in_flight.clear()
            shard.tried_replicas.clear()

    def _update_outcome(self, now: float) -> None:
        if self.outcome is not None:
            return
        enough = self.missing <= self.max_missing
        if self.missing == 0:
            self.outcome = GatherOutcome("whole", True)
        elif enough and self.ends_at_aim and now >= self.aim_at:
            self.outcome = GatherOutcome("aim", True)
        elif enough and self.missing == self.given_up_count:
            self.outcome = GatherOutcome("settled", True)
        elif self.given_up_count > self.max_missing:
            self.outcome = GatherOutcome("doomed", False)
        elif now >= self.end_at:
            self.outcome = GatherOutcome("deadline", enough)
