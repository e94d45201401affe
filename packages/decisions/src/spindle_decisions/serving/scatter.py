"""The life of one query, from its start to exactly one end."""

from collections.abc import Callable

from spindle_decisions.serving.attempt_kind import AttemptKind
from spindle_decisions.serving.cancel import Cancel
from spindle_decisions.serving.failure_kind import FailureKind
from spindle_decisions.serving.finish import Finish
from spindle_decisions.serving.query_costs import QueryCosts
from spindle_decisions.serving.query_end import QueryEnd
from spindle_decisions.serving.query_plan import QueryPlan
from spindle_decisions.serving.query_result import QueryResult
from spindle_decisions.serving.scatter_notes import ScatterNotes
from spindle_decisions.serving.scatter_shard import Attempt, ScatterShard
from spindle_decisions.serving.send import Send
from spindle_decisions.serving.shard_timers import ShardTimers
from spindle_decisions.serving.snapshot_choice import SnapshotChoice
from spindle_decisions.serving.snapshot_id import SnapshotId
from spindle_decisions.serving.upstream_board import UpstreamBoard
from spindle_decisions.serving.upstream_state import UpstreamState

MAX_SENT_PER_SHARD = 4
MAX_RESTARTS = 2
RESTART_TIME_SHARE = 0.3
RETRY_PAUSE_S = 0.02
MAX_LOOKS = 4
LOOK_PAUSE_S = 0.03
HEDGE_PATIENCE = 1.4
HEDGE_LOOK_AGAIN = 0.5

Action = Send | Cancel | Finish


class Scatter:
    """One query over all services of its pinned snapshot.

    A state machine without time or sockets of its own: events come in as method
    calls with the current time, actions are collected until `take_actions`.
    `wake` is called when an action appears outside of an event of this query, as
    when another query gives back the slot this one waits for. `wake_at` is when
    `timer` is due next.

    Exactly one `Finish` comes out, and nothing is sent after it. Answers that
    are late, foreign or come twice carry the number of no sub-request in flight
    and are ignored.
    """

    def __init__(
        self, plan: QueryPlan, board: UpstreamBoard, notes: ScatterNotes, wake: Callable[[], None]
    ) -> None:
        self.plan = plan
        self.board = board
        self.notes = notes
        self.wake = wake
        self.costs = QueryCosts()
        self.snapshot: SnapshotId | None = None
        self.shards: dict[str, ScatterShard] = {}
        self.unsettled = 0
        self.attempts: dict[int, Attempt] = {}
        self.last_attempt = 0
        self.restarts = 0
        self.timers = ShardTimers()
        self.started_at = 0.0
        self.done = False
        self.actions: list[Action] = []

    @property
    def wake_at(self) -> float:
        """When `timer` is due, in monotonic seconds."""
        return min(self.plan.deadline, self.timers.next_at)

    def take_actions(self) -> list[Action]:
        """Return the actions since the last call, in order."""
        taken, self.actions = self.actions, []
        return taken

    def start(self, now: float) -> None:
        """Pin a snapshot and send the first sub-requests."""
        self.started_at = now
        choice = self._choose()
        if choice is None:
            self._finish(QueryEnd.EXHAUSTED, now)
            return
        if now >= self.plan.deadline:
            self._pin(choice)
            self._finish(QueryEnd.DEADLINE, now)
            return
        if self.board.policy.refuses_new(
            self.board.fills(choice.services, self.plan.deadline - now)
        ):
            self._pin(choice)
            self._finish(QueryEnd.OVERLOADED, now)
            return
        self._pin(choice)
        self._begin(choice, AttemptKind.PRIMARY, now)

    def answered(self, number: int, snapshot: SnapshotId | None, rows: object, now: float) -> None:
        """Take in an answer; one of another snapshot is a failure, never merged."""
        attempt = self.attempts.get(number)
        if attempt is None:
            return
        if self.plan.pinned and snapshot != self.snapshot:
            self.failed(number, FailureKind.BROKEN, now)
            return
        shard = attempt.shard
        self._forget(attempt)
        latency_s = now - attempt.sent_at
        if attempt.kind is not AttemptKind.HEDGE:
            self.board.policy.latency_seen(self.plan.group, latency_s, now)
        shard.covered = True
        shard.rows = rows
        self._cancel_flying(shard, slow=True, now=now)
        self._settled(shard)
        if self.board.answered(attempt.state, latency_s, now):
            self.notes.restored(attempt.state.name)
        self._finish_if_settled(now)

    def failed(self, number: int, kind: FailureKind, now: float) -> None:
        """Take in the failure of a sub-request and decide what follows."""
        attempt = self.attempts.get(number)
        if attempt is None:
            return
        shard = attempt.shard
        self._forget(attempt)
        self.notes.attempt_failed(shard.service, attempt.state.name, kind)
        if kind is FailureKind.SNAPSHOT_GONE and self.snapshot is not None:
            self.board.snapshot_gone(attempt.state, self.snapshot)
            shard.snapshot_gone = True
        if self.board.failed(attempt.state, kind, now):
            self.notes.ejected(attempt.state.name)
        if self.done or shard.settled or shard.flying or shard.waiting:
            return
        if self.board.policy.may_retry(kind):
            self._again(shard, kind, now)
        else:
            self._lose(shard, now)

    def timer(self, now: float) -> None:
        """Do what is due: hedges, postponed retries, the deadline."""
        if self.done:
            return
        if now >= self.plan.deadline:
            self._finish(QueryEnd.DEADLINE, now)
            return
        while not self.done and (due := self.timers.take_due(now)):
            shard, kind = due
            if not shard.settled and self.shards.get(shard.service) is shard:
                self._consider(shard, kind, now)

    def caller_gone(self, now: float) -> None:
        """End the query because nobody waits for it."""
        self._finish(QueryEnd.CALLER_GONE, now)

    def waits(self, service: str, now: float) -> bool:
        """Tell the board whether the slot is still wanted, see `SlotWaiter`."""
        shard = self.shards.get(service)
        if self.done or shard is None:
            return False
        return shard.waiting and now < self.plan.deadline

    def snapshot_for(self, service: str) -> SnapshotId | None:
        """Tell the board which snapshot to serve, see `SlotWaiter`."""
        return self.snapshot if self.plan.pinned else self.board.newest_of(service)

    def avoids(self, service: str) -> frozenset[str]:
        """Tell the board which replicas were tried, see `SlotWaiter`."""
        return frozenset(self.shards[service].avoid)

    def granted(self, service: str, state: UpstreamState, now: float) -> None:
        """Send with the slot that was waited for, see `SlotWaiter`."""
        shard = self.shards[service]
        shard.waiting = False
        self._send(shard, state, shard.next_kind, now)
        self.wake()

    def unservable(self, service: str, now: float) -> None:
        """Give up a shard whose replicas are all gone, see `SlotWaiter`."""
        shard = self.shards[service]
        shard.waiting = False
        self._no_replica(shard, now)
        self.wake()

    def _choose(self) -> SnapshotChoice | None:
        choice = self.board.choose_snapshot(self.plan.group)
        if not self.plan.only:
            return choice
        newest = self.board.newest_of(self.plan.only)
        if newest is None:
            return None
        names = (self.plan.only,)
        return SnapshotChoice(newest, names, frozenset(names))

    def _pin(self, choice: SnapshotChoice) -> None:
        self.snapshot = choice.snapshot
        self.shards = {name: ScatterShard(name) for name in choice.services}
        self.unsettled = len(self.shards)
        self.notes.pinned(choice.snapshot)

    def _begin(self, choice: SnapshotChoice, kind: AttemptKind, now: float) -> None:
        shards = list(self.shards.values())
        self.costs.needed = len(shards)
        for shard in shards:
            shard.next_kind = kind
            if shard.service not in choice.serving:
                shard.lost = True
                self._settled(shard)
        for shard in shards:
            if self.done or self.shards.get(shard.service) is not shard:
                return
            if not shard.settled:
                self._send_or_wait(shard, now)
        self._finish_if_settled(now)

    def _send_or_wait(self, shard: ScatterShard, now: float) -> None:
        if now >= self.plan.deadline:
            return
        snapshot = self.snapshot_for(shard.service)
        candidates = self.board.candidates(shard.service, snapshot, shard.avoid, now)
        if snapshot is None or not candidates:
            self._no_replica(shard, now)
            return
        first_in_line = not self.board.queued(shard.service)
        state = self.board.pick(candidates, now) if first_in_line else None
        if state is not None:
            self._send(shard, state, shard.next_kind, now)
            return
        self.board.policy.had_to_wait()
        if self.board.enqueue(shard.service, self):
            shard.waiting = True
        else:
            self._lose(shard, now)

    def _send(
        self, shard: ScatterShard, state: UpstreamState, kind: AttemptKind, now: float
    ) -> None:
        self.last_attempt += 1
        attempt = Attempt(self.last_attempt, shard, state, kind, now)
        self.attempts[attempt.number] = attempt
        shard.flying[attempt.number] = attempt
        shard.sent += 1
        shard.avoid.add(state.name)
        self._count(kind, shard, state)
        snapshot = self.snapshot_for(shard.service)
        assert snapshot is not None
        self.actions.append(Send(attempt.number, shard.service, state.name, snapshot, kind))
        if kind is not AttemptKind.HEDGE:
            self._arm_hedge(shard, now)

    def _count(self, kind: AttemptKind, shard: ScatterShard, state: UpstreamState) -> None:
        if kind is AttemptKind.PRIMARY:
            self.costs.primaries += 1
            self.board.policy.sent_primary()
        elif kind is AttemptKind.HEDGE:
            self.costs.hedges += 1
            self.notes.hedged(shard.service, state.name)
        elif kind is AttemptKind.RETRY:
            self.costs.retries += 1
            self.notes.retried(shard.service, state.name)
        else:
            self.costs.restarts += 1

    def _arm_hedge(self, shard: ScatterShard, now: float) -> None:
        after_s = self.board.policy.hedge_after_s(self.plan.group)
        if after_s is not None:
            self.timers.arm(now + after_s, shard, AttemptKind.HEDGE)

    def _consider(self, shard: ScatterShard, kind: AttemptKind, now: float) -> None:
        if kind is AttemptKind.HEDGE:
            self._hedge(shard, now)
        elif not shard.flying and not shard.waiting:
            self._send_or_wait(shard, now)

    def _hedge(self, shard: ScatterShard, now: float) -> None:
        """Send a hedge if a replica is free and the budget allows, else look again later.

        A replica that this shard already waits for is asked again only when
        there is no other: a straggler need not repeat itself.
        """
        after_s = self.board.policy.hedge_after_s(self.plan.group)
        if after_s is None or not shard.flying or shard.waiting:
            return
        if shard.sent >= MAX_SENT_PER_SHARD:
            return
        state = self._hedge_target(shard, now)
        patient = now - self._oldest(shard) > HEDGE_PATIENCE * after_s
        if state is not None and self.board.policy.may_hedge(patient):
            self.board.take(state)
            self._send(shard, state, AttemptKind.HEDGE, now)
            self.timers.arm(now + after_s, shard, AttemptKind.HEDGE)
        else:
            self.timers.arm(now + HEDGE_LOOK_AGAIN * after_s, shard, AttemptKind.HEDGE)

    def _hedge_target(self, shard: ScatterShard, now: float) -> UpstreamState | None:
        if self.board.queued(shard.service):
            return None
        snapshot = self.snapshot_for(shard.service)
        in_use = {attempt.state.name for attempt in shard.flying.values()}
        candidates = self.board.candidates(shard.service, snapshot, in_use, now)
        if not candidates:
            candidates = self.board.candidates(shard.service, snapshot, (), now)
        free = [state for state in candidates if self.board.policy.admits_hedge(state)]
        return self.board.policy.choose(free, now, self.board.rng) if free else None

    def _oldest(self, shard: ScatterShard) -> float:
        return min(attempt.sent_at for attempt in shard.flying.values())

    def _again(self, shard: ScatterShard, kind: FailureKind, now: float) -> None:
        """Try a shard once more: another replica at once, the same one after a pause."""
        if shard.sent >= MAX_SENT_PER_SHARD:
            self._lose(shard, now)
            return
        shard.next_kind = AttemptKind.RETRY
        snapshot = self.snapshot_for(shard.service)
        if self.board.candidates(shard.service, snapshot, shard.avoid, now):
            self._send_or_wait(shard, now)
            return
        shard.avoid.clear()
        if self.board.candidates(shard.service, snapshot, shard.avoid, now):
            self.timers.arm(now + RETRY_PAUSE_S * shard.sent, shard, AttemptKind.RETRY)
            return
        self._no_replica(shard, now)

    def _no_replica(self, shard: ScatterShard, now: float) -> None:
        """No replica serves the pinned snapshot: start again on another, or lose the shard.

        Where the snapshot has just gone, what the replicas hold instead is
        asked of them meanwhile, so another is looked for a few times.
        """
        choice = self._another_snapshot(now)
        if choice is None and shard.snapshot_gone and shard.looks < MAX_LOOKS:
            shard.looks += 1
            self.timers.arm(now + LOOK_PAUSE_S * shard.looks, shard, AttemptKind.RETRY)
            return
        if choice is None:
            self._lose(shard, now)
            return
        assert self.snapshot is not None
        self.notes.restarted(self.snapshot, choice.snapshot)
        self.restarts += 1
        for other in list(self.shards.values()):
            self._stop_shard(other, now)
        self.timers.clear()
        self._pin(choice)
        self._begin(choice, AttemptKind.RESTART, now)

    def _another_snapshot(self, now: float) -> SnapshotChoice | None:
        if not self.plan.pinned or self.restarts >= MAX_RESTARTS:
            return None
        left_s = self.plan.deadline - now
        if left_s < RESTART_TIME_SHARE * (self.plan.deadline - self.started_at):
            return None
        choice = self._choose()
        if choice is None or choice.snapshot == self.snapshot:
            return None
        return choice if choice.whole else None

    def _lose(self, shard: ScatterShard, now: float) -> None:
        shard.lost = True
        self._settled(shard)
        self._finish_if_settled(now)

    def _settled(self, shard: ScatterShard) -> None:
        self.unsettled -= 1

    def _finish_if_settled(self, now: float) -> None:
        if self.unsettled == 0 and not self.done:
            whole = all(shard.covered for shard in self.shards.values())
            self._finish(QueryEnd.COMPLETE if whole else QueryEnd.EXHAUSTED, now)

    def _finish(self, end: QueryEnd, now: float) -> None:
        if self.done:
            return
        self.done = True
        for shard in self.shards.values():
            self._stop_shard(shard, now, slow=end is QueryEnd.DEADLINE)
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
        self.actions.append(Finish(result))

    def _stop_shard(self, shard: ScatterShard, now: float, slow: bool = False) -> None:
        if shard.waiting:
            shard.waiting = False
            self.board.withdraw(shard.service, self)
        self._cancel_flying(shard, slow, now)

    def _cancel_flying(self, shard: ScatterShard, slow: bool, now: float) -> None:
        for attempt in list(shard.flying.values()):
            self._forget(attempt)
            self._cancel(attempt, slow, now)

    def _cancel(self, attempt: Attempt, slow: bool, now: float) -> None:
        unsent = [
            action
            for action in self.actions
            if isinstance(action, Send) and action.attempt == attempt.number
        ]
        if unsent:
            self.actions.remove(unsent[0])
            self.board.returned(attempt.state, now)
            return
        self.costs.cancelled += 1
        self.actions.append(Cancel(attempt.number))
        # A hedge that lost is not slower than its replica usually is.
        against = slow and attempt.kind is not AttemptKind.HEDGE
        if against:
            self.board.policy.latency_seen(self.plan.group, now - attempt.sent_at, now)
        if self.board.abandoned(attempt.state, attempt.sent_at, against, now):
            self.notes.ejected(attempt.state.name)

    def _forget(self, attempt: Attempt) -> None:
        del self.attempts[attempt.number]
        attempt.shard.flying.pop(attempt.number, None)
