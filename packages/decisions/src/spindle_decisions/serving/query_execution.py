"""The state machine of one scatter-gather query."""

from collections.abc import Callable

from spindle_decisions.serving.attempt_kind import AttemptKind
from spindle_decisions.serving.cancel_sub_request import CancelSubRequest
from spindle_decisions.serving.failure_kind import FailureKind
from spindle_decisions.serving.finish_query import FinishQuery
from spindle_decisions.serving.query_costs import QueryCosts
from spindle_decisions.serving.query_end_reason import QueryEndReason
from spindle_decisions.serving.query_observer import QueryObserver
from spindle_decisions.serving.query_result import QueryResult
from spindle_decisions.serving.query_shard_state import Attempt, QueryShardState
from spindle_decisions.serving.query_spec import QuerySpec
from spindle_decisions.serving.send_sub_request import SendSubRequest
from spindle_decisions.serving.shard_timers import ShardTimers
from spindle_decisions.serving.snapshot_id import SnapshotId
from spindle_decisions.serving.snapshot_selection import SnapshotSelection
from spindle_decisions.serving.upstream_pool import UpstreamPool
from spindle_decisions.serving.upstream_state import UpstreamState

MAX_ATTEMPTS_PER_SHARD = 4
MAX_RESTARTS = 2
RESTART_MIN_TIME_RATIO = 0.3
RETRY_DELAY_S = 0.02
MAX_SNAPSHOT_LOOKUPS = 4
SNAPSHOT_LOOKUP_DELAY_S = 0.03
HEDGE_RESERVE_AFTER_FACTOR = 1.4
HEDGE_RECHECK_FACTOR = 0.5

Action = SendSubRequest | CancelSubRequest | FinishQuery


class QueryExecution:
    """Runs one query against all services of its pinned snapshot.

    A state machine without clock or sockets of its own: events are method calls
    with the current time, and actions are collected until `take_actions`. `wake`
    is called when an action is added outside an event of this query, for example
    when another query releases the slot for which this one waits. `on_timer` must
    be called at `next_timer_at`.

    There is exactly one `FinishQuery` action, and nothing is sent after it. An
    answer that is late, duplicate or meant for another query has a number that no
    sub-request in flight has, and is ignored.
    """

    def __init__(
        self, spec: QuerySpec, pool: UpstreamPool, observer: QueryObserver, wake: Callable[[], None]
    ) -> None:
        self.spec = spec
        self.pool = pool
        self.observer = observer
        self.wake = wake
        self.costs = QueryCosts()
        self.snapshot: SnapshotId | None = None
        self.shards: dict[str, QueryShardState] = {}
        self.unsettled_shards = 0
        self.attempts: dict[int, Attempt] = {}
        self.last_attempt_number = 0
        self.restarts = 0
        self.timers = ShardTimers()
        self.started_at = 0.0
        self.done = False
        self.actions: list[Action] = []

    @property
    def next_timer_at(self) -> float:
        """When to call `on_timer` next, in monotonic seconds."""
        return min(self.spec.deadline, self.timers.next_at)

    def take_actions(self) -> list[Action]:
        """Return and clear the actions since the last call, in order."""
        taken, self.actions = self.actions, []
        return taken

    def start(self, now: float) -> None:
        """Pin the query to a snapshot and send the first sub-requests."""
        self.started_at = now
        selection = self._choose_snapshot()
        if selection is None:
            self._finish(QueryEndReason.EXHAUSTED, now)
            return
        if now >= self.spec.deadline:
            self._pin(selection)
            self._finish(QueryEndReason.DEADLINE, now)
            return
        if self.pool.policy.should_shed(
            self.pool.queue_fills(selection.services, self.spec.deadline - now)
        ):
            self._pin(selection)
            self._finish(QueryEndReason.OVERLOADED, now)
            return
        self._pin(selection)
        self._start_shards(selection, AttemptKind.PRIMARY, now)

    def on_response(
        self, number: int, snapshot: SnapshotId | None, rows: object, now: float
    ) -> None:
        """Process an answer; one from another snapshot counts as a failure and is not merged."""
        attempt = self.attempts.get(number)
        if attempt is None:
            return
        if self.spec.pinned and snapshot != self.snapshot:
            self.on_failure(number, FailureKind.BROKEN, now)
            return
        shard = attempt.shard
        self._remove_attempt(attempt)
        latency_s = now - attempt.sent_at
        if attempt.kind is not AttemptKind.HEDGE:
            self.pool.policy.on_latency(self.spec.group, latency_s, now)
        shard.covered = True
        shard.rows = rows
        self._cancel_in_flight(shard, slow=True, now=now)
        self._on_shard_settled(shard)
        if self.pool.release_success(attempt.state, latency_s, now):
            self.observer.on_ejection_ended(attempt.state.name)
        self._finish_if_all_settled(now)

    def on_failure(self, number: int, kind: FailureKind, now: float) -> None:
        """Process the failure of a sub-request: retry, restart or give up the shard."""
        attempt = self.attempts.get(number)
        if attempt is None:
            return
        shard = attempt.shard
        self._remove_attempt(attempt)
        self.observer.on_attempt_failed(shard.service, attempt.state.name, kind)
        if kind is FailureKind.SNAPSHOT_GONE and self.snapshot is not None:
            self.pool.remove_snapshot(attempt.state, self.snapshot)
            shard.snapshot_gone = True
        if self.pool.release_failure(attempt.state, kind, now):
            self.observer.on_ejected(attempt.state.name)
        if self.done or shard.is_settled or shard.in_flight or shard.waiting:
            return
        if self.pool.policy.try_acquire_retry(kind):
            self._retry(shard, kind, now)
        else:
            self._give_up(shard, now)

    def on_timer(self, now: float) -> None:
        """Run the timers that are due: hedges, delayed retries and the deadline."""
        if self.done:
            return
        if now >= self.spec.deadline:
            self._finish(QueryEndReason.DEADLINE, now)
            return
        while not self.done and (due := self.timers.take_due(now)):
            shard, kind = due
            if not shard.is_settled and self.shards.get(shard.service) is shard:
                self._run_timer(shard, kind, now)

    def on_caller_gone(self, now: float) -> None:
        """End the query because the caller disconnected."""
        self._finish(QueryEndReason.CALLER_GONE, now)

    def is_waiting(self, service: str, now: float) -> bool:
        """Return whether the slot is still wanted, see `SlotWaiter`."""
        shard = self.shards.get(service)
        if self.done or shard is None:
            return False
        return shard.waiting and now < self.spec.deadline

    def required_snapshot(self, service: str) -> SnapshotId | None:
        """Return the snapshot that the replica must hold, see `SlotWaiter`."""
        return self.snapshot if self.spec.pinned else self.pool.newest_snapshot(service)

    def excluded_upstreams(self, service: str) -> frozenset[str]:
        """Return the replicas already tried, see `SlotWaiter`."""
        return frozenset(self.shards[service].excluded_replicas)

    def on_slot_granted(self, service: str, state: UpstreamState, now: float) -> None:
        """Send the waiting sub-request to the replica with the free slot, see `SlotWaiter`."""
        shard = self.shards[service]
        shard.waiting = False
        self._send(shard, state, shard.next_kind, now)
        self.wake()

    def on_unservable(self, service: str, now: float) -> None:
        """Restart the query, or give up a shard without any replica left, see `SlotWaiter`."""
        shard = self.shards[service]
        shard.waiting = False
        self._restart_or_give_up(shard, now)
        self.wake()

    def _choose_snapshot(self) -> SnapshotSelection | None:
        selection = self.pool.choose_snapshot(self.spec.group)
        if not self.spec.only_service:
            return selection
        newest = self.pool.newest_snapshot(self.spec.only_service)
        if newest is None:
            return None
        names = (self.spec.only_service,)
        return SnapshotSelection(newest, names, frozenset(names))

    def _pin(self, selection: SnapshotSelection) -> None:
        self.snapshot = selection.snapshot
        self.shards = {name: QueryShardState(name) for name in selection.services}
        self.unsettled_shards = len(self.shards)
        self.observer.on_snapshot_pinned(selection.snapshot)

    def _start_shards(self, selection: SnapshotSelection, kind: AttemptKind, now: float) -> None:
        shards = list(self.shards.values())
        self.costs.needed = len(shards)
        for shard in shards:
            shard.next_kind = kind
            if shard.service not in selection.serving:
                shard.given_up = True
                self._on_shard_settled(shard)
        for shard in shards:
            if self.done or self.shards.get(shard.service) is not shard:
                return
            if not shard.is_settled:
                self._send_or_wait(shard, now)
        self._finish_if_all_settled(now)

    def _send_or_wait(self, shard: QueryShardState, now: float) -> None:
        if now >= self.spec.deadline:
            return
        snapshot = self.required_snapshot(shard.service)
        candidates = self.pool.candidates(shard.service, snapshot, shard.excluded_replicas, now)
        if snapshot is None or not candidates:
            self._restart_or_give_up(shard, now)
            return
        first_in_line = not self.pool.queue_length(shard.service)
        state = self.pool.acquire_best(candidates, now) if first_in_line else None
        if state is not None:
            self._send(shard, state, shard.next_kind, now)
            return
        self.pool.policy.on_slot_wait()
        if self.pool.enqueue(shard.service, self):
            shard.waiting = True
        else:
            self._give_up(shard, now)

    def _send(
        self, shard: QueryShardState, state: UpstreamState, kind: AttemptKind, now: float
    ) -> None:
        self.last_attempt_number += 1
        attempt = Attempt(self.last_attempt_number, shard, state, kind, now)
        self.attempts[attempt.number] = attempt
        shard.in_flight[attempt.number] = attempt
        shard.attempts_sent += 1
        shard.excluded_replicas.add(state.name)
        self._record_attempt(kind, shard, state)
        snapshot = self.required_snapshot(shard.service)
        assert snapshot is not None
        self.actions.append(
            SendSubRequest(attempt.number, shard.service, state.name, snapshot, kind)
        )
        if kind is not AttemptKind.HEDGE:
            self._schedule_hedge(shard, now)

    def _record_attempt(
        self, kind: AttemptKind, shard: QueryShardState, state: UpstreamState
    ) -> None:
        if kind is AttemptKind.PRIMARY:
            self.costs.primaries += 1
            self.pool.policy.on_primary_sent()
        elif kind is AttemptKind.HEDGE:
            self.costs.hedges += 1
            self.observer.on_hedge_sent(shard.service, state.name)
        elif kind is AttemptKind.RETRY:
            self.costs.retries += 1
            self.observer.on_retry_sent(shard.service, state.name)
        else:
            self.costs.restarts += 1

    def _schedule_hedge(self, shard: QueryShardState, now: float) -> None:
        delay_s = self.pool.policy.hedge_delay_s(self.spec.group)
        if delay_s is not None:
            self.timers.schedule(now + delay_s, shard, AttemptKind.HEDGE)

    def _run_timer(self, shard: QueryShardState, kind: AttemptKind, now: float) -> None:
        if kind is AttemptKind.HEDGE:
            self._hedge_or_recheck(shard, now)
        elif not shard.in_flight and not shard.waiting:
            self._send_or_wait(shard, now)

    def _hedge_or_recheck(self, shard: QueryShardState, now: float) -> None:
        """Send a hedge if a replica is free and the budget allows it, else recheck later.

        A replica with an attempt of this shard in flight gets the hedge only if
        there is no other. This can still help, since its next answer need not be
        slow as well.
        """
        delay_s = self.pool.policy.hedge_delay_s(self.spec.group)
        if delay_s is None or not shard.in_flight or shard.waiting:
            return
        if shard.attempts_sent >= MAX_ATTEMPTS_PER_SHARD:
            return
        state = self._hedge_replica(shard, now)
        use_reserve = now - self._oldest_sent_at(shard) > HEDGE_RESERVE_AFTER_FACTOR * delay_s
        if state is not None and self.pool.policy.try_acquire_hedge(use_reserve):
            self.pool.acquire(state)
            self._send(shard, state, AttemptKind.HEDGE, now)
            self.timers.schedule(now + delay_s, shard, AttemptKind.HEDGE)
        else:
            self.timers.schedule(now + HEDGE_RECHECK_FACTOR * delay_s, shard, AttemptKind.HEDGE)

    def _hedge_replica(self, shard: QueryShardState, now: float) -> UpstreamState | None:
        if self.pool.queue_length(shard.service):
            return None
        snapshot = self.required_snapshot(shard.service)
        in_use = {attempt.state.name for attempt in shard.in_flight.values()}
        candidates = self.pool.candidates(shard.service, snapshot, in_use, now)
        if not candidates:
            candidates = self.pool.candidates(shard.service, snapshot, (), now)
        free = [state for state in candidates if self.pool.policy.admits_hedge(state)]
        return self.pool.policy.choose_replica(free, now, self.pool.rng) if free else None

    def _oldest_sent_at(self, shard: QueryShardState) -> float:
        return min(attempt.sent_at for attempt in shard.in_flight.values())

    def _retry(self, shard: QueryShardState, kind: FailureKind, now: float) -> None:
        """Retry a shard: at once on another replica, after a delay on one already tried."""
        if shard.attempts_sent >= MAX_ATTEMPTS_PER_SHARD:
            self._give_up(shard, now)
            return
        shard.next_kind = AttemptKind.RETRY
        snapshot = self.required_snapshot(shard.service)
        if self.pool.candidates(shard.service, snapshot, shard.excluded_replicas, now):
            self._send_or_wait(shard, now)
            return
        shard.excluded_replicas.clear()
        if self.pool.candidates(shard.service, snapshot, shard.excluded_replicas, now):
            self.timers.schedule(
                now + RETRY_DELAY_S * shard.attempts_sent, shard, AttemptKind.RETRY
            )
            return
        self._restart_or_give_up(shard, now)

    def _restart_or_give_up(self, shard: QueryShardState, now: float) -> None:
        """Restart the query on another snapshot, or give up the shard that has no replica.

        After a replica has dropped the pinned snapshot, status requests ask the
        replicas which snapshots they hold now. Their answers take a moment, so the
        look-up is repeated up to `MAX_SNAPSHOT_LOOKUPS` times.
        """
        selection = self._restart_selection(now)
        if (
            selection is None
            and shard.snapshot_gone
            and shard.snapshot_lookups < MAX_SNAPSHOT_LOOKUPS
        ):
            shard.snapshot_lookups += 1
            self.timers.schedule(
                now + SNAPSHOT_LOOKUP_DELAY_S * shard.snapshot_lookups, shard, AttemptKind.RETRY
            )
            return
        if selection is None:
            self._give_up(shard, now)
            return
        assert self.snapshot is not None
        self.observer.on_restarted(self.snapshot, selection.snapshot)
        self.restarts += 1
        for other in list(self.shards.values()):
            self._stop_shard(other, now)
        self.timers.clear()
        self._pin(selection)
        self._start_shards(selection, AttemptKind.RESTART, now)

    def _restart_selection(self, now: float) -> SnapshotSelection | None:
        if not self.spec.pinned or self.restarts >= MAX_RESTARTS:
            return None
        left_s = self.spec.deadline - now
        if left_s < RESTART_MIN_TIME_RATIO * (self.spec.deadline - self.started_at):
            return None
        selection = self._choose_snapshot()
        if selection is None or selection.snapshot == self.snapshot:
            return None
        return selection if selection.is_complete else None

    def _give_up(self, shard: QueryShardState, now: float) -> None:
        shard.given_up = True
        self._on_shard_settled(shard)
        self._finish_if_all_settled(now)

    def _on_shard_settled(self, shard: QueryShardState) -> None:
        self.unsettled_shards -= 1

    def _finish_if_all_settled(self, now: float) -> None:
        if self.unsettled_shards == 0 and not self.done:
            is_complete = all(shard.covered for shard in self.shards.values())
            self._finish(QueryEndReason.COMPLETE if is_complete else QueryEndReason.EXHAUSTED, now)

    def _finish(self, end: QueryEndReason, now: float) -> None:
        if self.done:
            return
        self.done = True
        for shard in self.shards.values():
            self._stop_shard(shard, now, slow=end is QueryEndReason.DEADLINE)
        covered = [shard for shard in self.shards.values() if shard.covered]
        missing = [shard.service for shard in self.shards.values() if not shard.covered]
        result = QueryResult(
            end=end,
            snapshot=self.snapshot,
            covered=tuple(shard.service for shard in covered),
            missing=tuple(missing),
            rows=tuple(shard.rows for shard in covered),
            costs=self.costs,
        )
        self.actions.append(FinishQuery(result))

    def _stop_shard(self, shard: QueryShardState, now: float, slow: bool = False) -> None:
        if shard.waiting:
            shard.waiting = False
            self.pool.remove_waiter(shard.service, self)
        self._cancel_in_flight(shard, slow, now)

    def _cancel_in_flight(self, shard: QueryShardState, slow: bool, now: float) -> None:
        for attempt in list(shard.in_flight.values()):
            self._remove_attempt(attempt)
            self._cancel(attempt, slow, now)

    def _cancel(self, attempt: Attempt, slow: bool, now: float) -> None:
        not_sent = [
            action
            for action in self.actions
            if isinstance(action, SendSubRequest) and action.attempt == attempt.number
        ]
        if not_sent:
            self.actions.remove(not_sent[0])
            self.pool.release_unused(attempt.state, now)
            return
        self.costs.cancelled += 1
        self.actions.append(CancelSubRequest(attempt.number))
        # A hedge starts later than the primary, so losing to it does not mean a slow replica.
        is_too_slow = slow and attempt.kind is not AttemptKind.HEDGE
        if is_too_slow:
            self.pool.policy.on_latency(self.spec.group, now - attempt.sent_at, now)
        if self.pool.release_cancelled(attempt.state, attempt.sent_at, is_too_slow, now):
            self.observer.on_ejected(attempt.state.name)

    def _remove_attempt(self, attempt: Attempt) -> None:
        del self.attempts[attempt.number]
        attempt.shard.in_flight.pop(attempt.number, None)
