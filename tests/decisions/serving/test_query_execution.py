"""Tests random event sequences of several queries against a simple model."""

import dataclasses

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from spindle_decisions.serving.attempt_kind import AttemptKind
from spindle_decisions.serving.default_policy import HEDGE_RATIO, DefaultPolicy, PolicyFeatures
from spindle_decisions.serving.failure_kind import FailureKind
from spindle_decisions.serving.finish_query import FinishQuery
from spindle_decisions.serving.query_end_reason import QueryEndReason
from spindle_decisions.serving.query_execution import QueryExecution
from spindle_decisions.serving.query_result import QueryResult
from spindle_decisions.serving.query_spec import QuerySpec
from spindle_decisions.serving.ratio_budget import RatioBudget
from spindle_decisions.serving.send_sub_request import SendSubRequest
from spindle_decisions.serving.snapshot_id import SnapshotId
from tests.decisions.serving.common import (
    GROUP,
    HERE,
    NEW,
    NEXT_EPOCH,
    OLD,
    CountingObserver,
    catalog_index,
    upstream_pool,
)

SNAPSHOTS = (OLD, NEW, NEXT_EPOCH)
FOREIGN = SnapshotId(9, 9)
DEADLINE_S = 1.0
BURST = 2.0


@dataclasses.dataclass
class TrackedQuery:
    """What the model has recorded of one query; `open` are the attempts in flight."""

    execution: QueryExecution
    sent: dict[int, SendSubRequest] = dataclasses.field(default_factory=dict)
    open: set[int] = dataclasses.field(default_factory=set)
    answered_rows: dict[tuple[str, SnapshotId], set[str]] = dataclasses.field(default_factory=dict)
    results: list[QueryResult] = dataclasses.field(default_factory=list)


class QueryExecutionMachine(RuleBasedStateMachine):
    """Several queries share one pool while replicas fail, drain and switch snapshots."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        policy = DefaultPolicy(HERE, PolicyFeatures())
        policy.hedges = RatioBudget(HEDGE_RATIO, burst=BURST)
        self.pool = upstream_pool(catalog_index(epoch=2), policy, self.now)
        for state in self.pool.states.values():
            state.limit.value = state.limit.max_value = 1.0
        self.queries: list[TrackedQuery] = []
        self.primaries = 0
        self.hedges = 0

    @rule(one_service=st.booleans())
    def start(self, one_service: bool) -> None:
        spec = QuerySpec(GROUP, self.now + DEADLINE_S, only_service="s1" if one_service else "")
        query = TrackedQuery(QueryExecution(spec, self.pool, CountingObserver(), lambda: None))
        self.queries.append(query)
        query.execution.start(self.now)
        self.collect()

    @precondition(lambda self: any(query.open for query in self.queries))
    @rule(data=st.data())
    def answer(self, data: st.DataObject) -> None:
        query, sub_request = self.draw_open_attempt(data)
        self.deliver_answer(query, sub_request, sub_request.snapshot)

    @precondition(lambda self: any(query.open for query in self.queries))
    @rule(data=st.data(), kind=st.sampled_from(FailureKind))
    def fail(self, data: st.DataObject, kind: FailureKind) -> None:
        query, sub_request = self.draw_open_attempt(data)
        query.open.discard(sub_request.attempt)
        query.execution.on_failure(sub_request.attempt, kind, self.now)
        self.collect()

    @precondition(lambda self: any(query.open for query in self.queries))
    @rule(data=st.data())
    def answer_of_another_snapshot(self, data: st.DataObject) -> None:
        query, sub_request = self.draw_open_attempt(data)
        query.open.discard(sub_request.attempt)
        query.execution.on_response(sub_request.attempt, FOREIGN, ("foreign",), self.now)
        self.collect()

    @precondition(lambda self: any(query.sent for query in self.queries))
    @rule(data=st.data())
    def late_or_duplicate_answer(self, data: st.DataObject) -> None:
        query = data.draw(st.sampled_from([query for query in self.queries if query.sent]))
        closed = [number for number in query.sent if number not in query.open]
        number = data.draw(st.sampled_from(closed or [max(query.sent) + 1]))
        query.execution.on_response(number, query.execution.snapshot, ("late",), self.now)
        self.collect()

    @rule(step_s=st.sampled_from([0.001, 0.02, 0.11, 0.5]))
    def pass_time(self, step_s: float) -> None:
        self.now += step_s
        for query in self.queries:
            if query.execution.next_timer_at <= self.now:
                query.execution.on_timer(self.now)
                self.collect()

    @precondition(lambda self: any(query.open for query in self.queries))
    @rule(data=st.data(), caller_gone=st.booleans())
    def two_events_at_once(self, data: st.DataObject, caller_gone: bool) -> None:
        """A failure frees a slot for another query, which ends before it sends."""
        query, sub_request = self.draw_open_attempt(data)
        other = data.draw(st.sampled_from(self.queries))
        query.open.discard(sub_request.attempt)
        query.execution.on_failure(sub_request.attempt, FailureKind.SHED, self.now)
        if caller_gone:
            other.execution.on_caller_gone(self.now)
        else:
            other.execution.on_timer(self.now)
        self.collect()

    @precondition(lambda self: any(query.open for query in self.queries))
    @rule(data=st.data())
    def failure_before_late_timers(self, data: st.DataObject) -> None:
        """The deadline has passed, but a failure is processed before the timer."""
        query, sub_request = self.draw_open_attempt(data)
        self.now += DEADLINE_S
        query.open.discard(sub_request.attempt)
        query.execution.on_failure(sub_request.attempt, FailureKind.DRAINING, self.now)
        self.collect()
        self.pass_time(0.001)

    @rule(data=st.data(), draining=st.booleans())
    def drain(self, data: st.DataObject, draining: bool) -> None:
        state = data.draw(st.sampled_from(sorted(self.pool.states.values(), key=lambda s: s.name)))
        self.pool.on_drain_reported(state, draining, self.now)

    @rule(data=st.data(), held=st.sets(st.sampled_from(SNAPSHOTS)))
    def switch(self, data: st.DataObject, held: set[SnapshotId]) -> None:
        service = data.draw(st.sampled_from(sorted(self.pool.by_service)))
        for state in self.pool.by_service[service]:
            self.pool.update_snapshots(state, frozenset(held))

    @rule()
    def all_hold_newest(self) -> None:
        for state in self.pool.states.values():
            service = self.pool.index.services[state.upstream.service]
            held = [snap for snap in SNAPSHOTS if service.in_epoch(snap.epoch)]
            self.pool.update_snapshots(state, frozenset(held))

    @rule(snapshot=st.sampled_from(SNAPSHOTS))
    def all_hold_only(self, snapshot: SnapshotId) -> None:
        for state in self.pool.states.values():
            self.pool.update_snapshots(state, frozenset((snapshot,)))

    @precondition(lambda self: any(query.open for query in self.queries))
    @rule(data=st.data())
    def snapshot_vanishes(self, data: st.DataObject) -> None:
        """Every replica switches to a newer snapshot while the query runs."""
        query, sub_request = self.draw_open_attempt(data)
        newer = [snapshot for snapshot in SNAPSHOTS if snapshot > sub_request.snapshot]
        self.all_hold_only(max(newer, default=NEXT_EPOCH))
        query.open.discard(sub_request.attempt)
        query.execution.on_failure(sub_request.attempt, FailureKind.SNAPSHOT_GONE, self.now)
        self.collect()

    @precondition(lambda self: self.queries)
    @rule(data=st.data())
    def caller_disconnects(self, data: st.DataObject) -> None:
        query = data.draw(st.sampled_from(self.queries))
        query.execution.on_caller_gone(self.now)
        self.collect()

    @invariant()
    def slots_are_counted(self) -> None:
        for name, state in self.pool.states.items():
            in_flight = sum(
                query.sent[number].upstream == name
                for query in self.queries
                for number in query.open
            )
            assert state.in_flight == in_flight, (name, state.in_flight, in_flight)

    @invariant()
    def hedges_stay_in_budget(self) -> None:
        assert self.hedges <= BURST + HEDGE_RATIO * self.primaries

    def teardown(self) -> None:
        self.now += 10 * DEADLINE_S
        for query in self.queries:
            query.execution.on_timer(self.now)
        self.collect()
        for query in self.queries:
            assert len(query.results) == 1
            assert not query.open
        assert all(state.in_flight == 0 for state in self.pool.states.values())

    def draw_open_attempt(self, data: st.DataObject) -> tuple[TrackedQuery, SendSubRequest]:
        query = data.draw(st.sampled_from([query for query in self.queries if query.open]))
        return query, query.sent[data.draw(st.sampled_from(sorted(query.open)))]

    def deliver_answer(
        self, query: TrackedQuery, sub_request: SendSubRequest, snapshot: SnapshotId
    ) -> None:
        rows = f"{id(query)}/{sub_request.service}/{snapshot}/{sub_request.attempt}"
        query.answered_rows.setdefault((sub_request.service, snapshot), set()).add(rows)
        query.open.discard(sub_request.attempt)
        query.execution.on_response(sub_request.attempt, snapshot, rows, self.now)
        self.collect()

    def collect(self) -> None:
        """Take the actions of all queries and check them against the model."""
        for query in self.queries:
            for action in query.execution.take_actions():
                assert not query.results, "action after the end of the query"
                if isinstance(action, SendSubRequest):
                    self.check_send(query, action)
                elif isinstance(action, FinishQuery):
                    self.check_result(query, action.result)
                else:
                    assert action.attempt in query.open
                    query.open.remove(action.attempt)

    def check_send(self, query: TrackedQuery, sub_request: SendSubRequest) -> None:
        state = self.pool.states[sub_request.upstream]
        assert not state.draining
        assert self.now < query.execution.spec.deadline
        assert sub_request.snapshot == query.execution.snapshot
        assert sub_request.snapshot in state.snapshots
        assert state.upstream.service == sub_request.service
        assert sub_request.attempt not in query.sent
        query.sent[sub_request.attempt] = sub_request
        query.open.add(sub_request.attempt)
        self.primaries += sub_request.kind is AttemptKind.PRIMARY
        self.hedges += sub_request.kind is AttemptKind.HEDGE

    def check_result(self, query: TrackedQuery, result: QueryResult) -> None:
        query.results.append(result)
        is_complete = not result.missing and bool(result.covered)
        assert (result.end is QueryEndReason.COMPLETE) == is_complete
        if result.snapshot is None:
            assert not result.covered
            return
        spec = query.execution.spec
        services_of_epoch = [
            service.name
            for service in self.pool.index.catalog.services
            if service.in_epoch(result.snapshot.epoch)
        ]
        expected = [spec.only_service] if spec.only_service else services_of_epoch
        assert sorted([*result.covered, *result.missing]) == sorted(expected)
        for service, rows in zip(result.covered, result.rows, strict=True):
            assert rows in query.answered_rows[service, result.snapshot]


class TestQueryExecution(QueryExecutionMachine.TestCase):  # type: ignore[name-defined,misc]
    settings = settings(
        derandomize=True, database=None, deadline=None, max_examples=60, stateful_step_count=60
    )
