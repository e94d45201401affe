"""Random lives of several queries against a plain oracle."""

import dataclasses

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from spindle_decisions.serving.attempt_kind import AttemptKind
from spindle_decisions.serving.failure_kind import FailureKind
from spindle_decisions.serving.finish import Finish
from spindle_decisions.serving.query_end import QueryEnd
from spindle_decisions.serving.query_plan import QueryPlan
from spindle_decisions.serving.query_result import QueryResult
from spindle_decisions.serving.ratio_budget import RatioBudget
from spindle_decisions.serving.scatter import Scatter
from spindle_decisions.serving.send import Send
from spindle_decisions.serving.snapshot_id import SnapshotId
from spindle_decisions.serving.tier_policy import HEDGE_RATIO, TierPolicy, TierSwitches
from tests.decisions.serving.common import (
    GROUP,
    HERE,
    NEW,
    NEXT_EPOCH,
    OLD,
    SilentNotes,
    board,
    catalog,
)

SNAPSHOTS = (OLD, NEW, NEXT_EPOCH)
FOREIGN = SnapshotId(9, 9)
DEADLINE_S = 1.0
BURST = 2.0


@dataclasses.dataclass
class Life:
    """What the oracle saw of one query."""

    scatter: Scatter
    sent: dict[int, Send] = dataclasses.field(default_factory=dict)
    open: set[int] = dataclasses.field(default_factory=set)
    told: dict[tuple[str, SnapshotId], set[str]] = dataclasses.field(default_factory=dict)
    results: list[QueryResult] = dataclasses.field(default_factory=list)


class ScatterMachine(RuleBasedStateMachine):
    """Several queries share one board while replicas fail, drain and switch."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        policy = TierPolicy(HERE, TierSwitches())
        policy.hedges = RatioBudget(HEDGE_RATIO, burst=BURST)
        self.board = board(catalog(epoch=2), policy, self.now)
        for state in self.board.states.values():
            state.limit.value = state.limit.ceiling = 1.0
        self.lives: list[Life] = []
        self.primaries = 0
        self.hedges = 0

    @rule(only=st.booleans())
    def start(self, only: bool) -> None:
        plan = QueryPlan(GROUP, self.now + DEADLINE_S, only="s1" if only else "")
        life = Life(Scatter(plan, self.board, SilentNotes(), lambda: None))
        self.lives.append(life)
        life.scatter.start(self.now)
        self.collect()

    @precondition(lambda self: any(life.open for life in self.lives))
    @rule(data=st.data())
    def answer(self, data: st.DataObject) -> None:
        life, send = self.draw_open(data)
        self.tell(life, send, send.snapshot)

    @precondition(lambda self: any(life.open for life in self.lives))
    @rule(data=st.data(), kind=st.sampled_from(FailureKind))
    def fail(self, data: st.DataObject, kind: FailureKind) -> None:
        life, send = self.draw_open(data)
        life.open.discard(send.attempt)
        life.scatter.failed(send.attempt, kind, self.now)
        self.collect()

    @precondition(lambda self: any(life.open for life in self.lives))
    @rule(data=st.data())
    def answer_of_another_snapshot(self, data: st.DataObject) -> None:
        life, send = self.draw_open(data)
        life.open.discard(send.attempt)
        life.scatter.answered(send.attempt, FOREIGN, ("foreign",), self.now)
        self.collect()

    @precondition(lambda self: any(life.sent for life in self.lives))
    @rule(data=st.data())
    def late_or_double_answer(self, data: st.DataObject) -> None:
        life = data.draw(st.sampled_from([life for life in self.lives if life.sent]))
        closed = [number for number in life.sent if number not in life.open]
        number = data.draw(st.sampled_from(closed or [max(life.sent) + 1]))
        life.scatter.answered(number, life.scatter.snapshot, ("late",), self.now)
        self.collect()

    @rule(step_s=st.sampled_from([0.001, 0.02, 0.11, 0.5]))
    def pass_time(self, step_s: float) -> None:
        self.now += step_s
        for life in self.lives:
            if life.scatter.wake_at <= self.now:
                life.scatter.timer(self.now)
                self.collect()

    @precondition(lambda self: any(life.open for life in self.lives))
    @rule(data=st.data(), goes=st.booleans())
    def two_events_at_once(self, data: st.DataObject, goes: bool) -> None:
        """An answer frees a slot for another query, which ends before it sends."""
        life, send = self.draw_open(data)
        other = data.draw(st.sampled_from(self.lives))
        life.open.discard(send.attempt)
        life.scatter.failed(send.attempt, FailureKind.SHED, self.now)
        if goes:
            other.scatter.caller_gone(self.now)
        else:
            other.scatter.timer(self.now)
        self.collect()

    @precondition(lambda self: any(life.open for life in self.lives))
    @rule(data=st.data())
    def failure_before_late_timers(self, data: st.DataObject) -> None:
        """The deadline has passed, but a failure is seen before the timer."""
        life, send = self.draw_open(data)
        self.now += DEADLINE_S
        life.open.discard(send.attempt)
        life.scatter.failed(send.attempt, FailureKind.DRAINING, self.now)
        self.collect()
        self.pass_time(0.001)

    @rule(data=st.data(), draining=st.booleans())
    def drain(self, data: st.DataObject, draining: bool) -> None:
        state = data.draw(st.sampled_from(sorted(self.board.states.values(), key=lambda s: s.name)))
        self.board.drain_told(state, draining, self.now)

    @rule(data=st.data(), held=st.sets(st.sampled_from(SNAPSHOTS)))
    def switch(self, data: st.DataObject, held: set[SnapshotId]) -> None:
        service = data.draw(st.sampled_from(sorted(self.board.by_service)))
        for state in self.board.by_service[service]:
            self.board.holds(state, frozenset(held))

    @rule()
    def all_hold_newest(self) -> None:
        for state in self.board.states.values():
            service = self.board.index.services[state.upstream.service]
            held = [snap for snap in SNAPSHOTS if service.in_epoch(snap.epoch)]
            self.board.holds(state, frozenset(held))

    @rule(snapshot=st.sampled_from(SNAPSHOTS))
    def all_hold_only(self, snapshot: SnapshotId) -> None:
        for state in self.board.states.values():
            self.board.holds(state, frozenset((snapshot,)))

    @precondition(lambda self: any(life.open for life in self.lives))
    @rule(data=st.data())
    def snapshot_vanishes(self, data: st.DataObject) -> None:
        """Every replica moves to a newer snapshot under a running query."""
        life, send = self.draw_open(data)
        newer = [snapshot for snapshot in SNAPSHOTS if snapshot > send.snapshot]
        self.all_hold_only(max(newer, default=NEXT_EPOCH))
        life.open.discard(send.attempt)
        life.scatter.failed(send.attempt, FailureKind.SNAPSHOT_GONE, self.now)
        self.collect()

    @precondition(lambda self: self.lives)
    @rule(data=st.data())
    def caller_goes(self, data: st.DataObject) -> None:
        life = data.draw(st.sampled_from(self.lives))
        life.scatter.caller_gone(self.now)
        self.collect()

    @invariant()
    def slots_are_counted(self) -> None:
        for name, state in self.board.states.items():
            flying = sum(
                life.sent[number].upstream == name for life in self.lives for number in life.open
            )
            assert state.inflight == flying, (name, state.inflight, flying)

    @invariant()
    def hedges_stay_in_budget(self) -> None:
        assert self.hedges <= BURST + HEDGE_RATIO * self.primaries

    def teardown(self) -> None:
        self.now += 10 * DEADLINE_S
        for life in self.lives:
            life.scatter.timer(self.now)
        self.collect()
        for life in self.lives:
            assert len(life.results) == 1
            assert not life.open
        assert all(state.inflight == 0 for state in self.board.states.values())

    def draw_open(self, data: st.DataObject) -> tuple[Life, Send]:
        life = data.draw(st.sampled_from([life for life in self.lives if life.open]))
        return life, life.sent[data.draw(st.sampled_from(sorted(life.open)))]

    def tell(self, life: Life, send: Send, snapshot: SnapshotId) -> None:
        rows = f"{id(life)}/{send.service}/{snapshot}/{send.attempt}"
        life.told.setdefault((send.service, snapshot), set()).add(rows)
        life.open.discard(send.attempt)
        life.scatter.answered(send.attempt, snapshot, rows, self.now)
        self.collect()

    def collect(self) -> None:
        """Take the actions of all queries and hold them against the rules."""
        for life in self.lives:
            for action in life.scatter.take_actions():
                assert not life.results, "an action after the end"
                if isinstance(action, Send):
                    self.check_send(life, action)
                elif isinstance(action, Finish):
                    self.check_result(life, action.result)
                else:
                    assert action.attempt in life.open
                    life.open.remove(action.attempt)

    def check_send(self, life: Life, send: Send) -> None:
        state = self.board.states[send.upstream]
        assert not state.draining
        assert self.now < life.scatter.plan.deadline
        assert send.snapshot == life.scatter.snapshot
        assert send.snapshot in state.snapshots
        assert state.upstream.service == send.service
        assert send.attempt not in life.sent
        life.sent[send.attempt] = send
        life.open.add(send.attempt)
        self.primaries += send.kind is AttemptKind.PRIMARY
        self.hedges += send.kind is AttemptKind.HEDGE

    def check_result(self, life: Life, result: QueryResult) -> None:
        life.results.append(result)
        life_end_is_true = not result.missing and bool(result.covered)
        assert (result.end is QueryEnd.COMPLETE) == life_end_is_true
        if result.snapshot is None:
            assert not result.covered
            return
        plan = life.scatter.plan
        of_epoch = [
            service.name
            for service in self.board.index.catalog.services
            if service.in_epoch(result.snapshot.epoch)
        ]
        expected = [plan.only] if plan.only else of_epoch
        assert sorted([*result.covered, *result.missing]) == sorted(expected)
        for service, rows in zip(result.covered, result.rows, strict=True):
            assert rows in life.told[service, result.snapshot]


class TestScatterMachine(ScatterMachine.TestCase):  # type: ignore[name-defined,misc]
    settings = settings(
        derandomize=True, database=None, deadline=None, max_examples=60, stateful_step_count=60
    )
