"""Everything this instance knows about its upstreams, shared by all queries."""

import random
from collections import deque
from collections.abc import Collection, Iterable, Sequence

from spindle_decisions.catalog.catalog import EMPTY_CATALOG
from spindle_decisions.catalog.index import CatalogIndex
from spindle_decisions.catalog.upstream import Upstream
from spindle_decisions.serving.connection_shares import ConnectionShares
from spindle_decisions.serving.failure_kind import NOT_RUN_KINDS, FailureKind
from spindle_decisions.serving.serving_policy import ServingPolicy
from spindle_decisions.serving.slot_waiter import SlotWaiter
from spindle_decisions.serving.snapshot_id import SnapshotId
from spindle_decisions.serving.snapshot_selection import SnapshotSelection, choose_snapshot
from spindle_decisions.serving.upstream_state import UpstreamState

QUEUE_WAIT_RATIO = 0.15
MAX_QUEUE_PER_SLOT = 8
MIN_QUEUE_WAIT_S = 0.01
NOBODY: frozenset[str] = frozenset()


class UpstreamPool:
    """The states of all upstreams, and the queues in front of them.

    Queries take slots with `pick` and give them back with `answered`, `failed`
    or `abandoned`. A slot that is given back goes to the longest waiting query
    of the service. The queue of a service is bounded. Without `shares` this
    instance uses all the connections that an upstream accepts.
    """

    def __init__(
        self, policy: ServingPolicy, shares: ConnectionShares | None, rng: random.Random
    ) -> None:
        self.policy = policy
        self.shares = shares
        self.rng = rng
        self.index = CatalogIndex(EMPTY_CATALOG)
        self.states: dict[str, UpstreamState] = {}
        self.by_service: dict[str, list[UpstreamState]] = {}
        self.queues: dict[str, deque[SlotWaiter]] = {}
        self.selections: dict[str, SnapshotSelection | None] = {}

    def update_catalog(self, index: CatalogIndex, now: float) -> None:
        """Use a newer catalog; upstreams that stay keep what is known about them."""
        self.index = index
        states: dict[str, UpstreamState] = {}
        for upstream in index.catalog.upstreams:
            state = self.states.get(upstream.name)
            if state is None or _address_changed(state, upstream.host, upstream.port):
                state = UpstreamState(upstream, now)
            state.upstream = upstream
            state.connection_share = self._connection_share(upstream, now)
            states[upstream.name] = state
        self.states = states
        self.by_service = {
            name: [states[item.name] for item in upstreams]
            for name, upstreams in index.by_service.items()
        }
        self.selections.clear()
        self.queues = {name: self.queues.get(name, deque()) for name in index.services}

    def update_connection_shares(self, now: float) -> list[UpstreamState]:
        """Work out all connection shares again; return the states whose share changed."""
        changed = []
        for state in self.states.values():
            connection_share = self._connection_share(state.upstream, now)
            if connection_share != state.connection_share:
                state.connection_share = connection_share
                changed.append(state)
        return changed

    def choose_snapshot(self, group: str) -> SnapshotSelection | None:
        """Choose the snapshot to pin a query of the group to."""
        if group not in self.selections:
            self.selections[group] = choose_snapshot(self.index, group, self._held_snapshots)
        return self.selections[group]

    def newest_snapshot(self, service: str) -> SnapshotId | None:
        """Return the newest snapshot that a usable replica of the service holds."""
        return max(self._held_snapshots(service), default=None)

    def candidates(
        self, service: str, snapshot: SnapshotId | None, excluded: Collection[str], now: float
    ) -> list[UpstreamState]:
        """Return the replicas that may get work for this snapshot, busy or not."""
        usable = [
            state
            for state in self.by_service.get(service, ())
            if not state.draining
            and (snapshot is None or snapshot in state.snapshots)
            and state.name not in excluded
        ]
        if len(usable) < 2:
            return usable
        return self.policy.without_ejected(usable, now)

    def acquire_best(self, candidates: Sequence[UpstreamState], now: float) -> UpstreamState | None:
        """Take a slot at the best free candidate, or return `None` when none is free."""
        ready = [state for state in candidates if self.policy.admits_request(state)]
        if not ready:
            return None
        state = self.policy.choose_replica(ready, now, self.rng)
        self.acquire(state)
        return state

    def acquire(self, state: UpstreamState) -> None:
        """Take a slot at this replica."""
        state.in_flight += 1

    def enqueue(self, service: str, waiter: SlotWaiter) -> bool:
        """Wait for a slot; return false when the queue of the service is full."""
        queue = self.queues.get(service)
        if queue is None or len(queue) >= self._max_queue_length(service):
            return False
        queue.append(waiter)
        return True

    def remove_waiter(self, service: str, waiter: SlotWaiter) -> None:
        """Stop waiting."""
        queue = self.queues.get(service)
        if queue is not None and waiter in queue:
            queue.remove(waiter)

    def queue_length(self, service: str) -> int:
        """Return how many queries wait at the service."""
        return len(self.queues.get(service, ()))

    def queue_fills(self, services: Iterable[str], left_s: float) -> list[float]:
        """Return how full the queue of each service is for a request with so much time left.

        A queue is full, 1.0, when the wait in it takes `WAIT_SHARE` of the time.
        """
        max_wait_s = max(MIN_QUEUE_WAIT_S, QUEUE_WAIT_RATIO * left_s)
        return [self.expected_wait_s(name) / max_wait_s for name in services]

    def expected_wait_s(self, service: str) -> float:
        """Return how long the last in the queue of the service may wait for a slot."""
        queued = self.queue_length(service)
        if not queued:
            return 0.0
        states = [state for state in self.by_service[service] if not state.draining]
        concurrency = sum(max(1, state.in_flight) for state in states)
        if not concurrency:
            return 0.0
        latency_s = sum(state.latency.value_s for state in states) / len(states)
        return queued * latency_s / concurrency

    def release_success(self, state: UpstreamState, latency_s: float, now: float) -> bool:
        """Give a slot back after a good answer; return true when this restores the replica."""
        state.latency.observe(latency_s, now)
        state.last_answered_at = now
        state.limit.on_success(latency_s, state.in_flight, now)
        ejection_ended = state.ejection.record_success()
        self._release(state, now)
        return ejection_ended

    def release_failure(self, state: UpstreamState, kind: FailureKind, now: float) -> bool:
        """Give a slot back after a failure; return true when this ejects the replica."""
        ejected = False
        if kind is FailureKind.SHED:
            state.limit.on_shed(now)
        elif kind is FailureKind.DRAINING:
            self.on_drain_reported(state, True, now)
        elif kind is FailureKind.NOT_SENT or kind not in NOT_RUN_KINDS:
            ejected = state.ejection.record_failure(now)
        self._release(state, now)
        return ejected

    def release_cancelled(
        self, state: UpstreamState, sent_at: float, slow: bool, now: float
    ) -> bool:
        """Give a slot back after a cancellation; return true when this ejects the replica.

        `slow` tells that another replica answered first or time ran out. That
        is a failure only when the replica answered nobody since `sent_at`: one
        that goes on answering is loaded, one that does not is stuck.
        """
        ejected = False
        if slow:
            state.latency.observe_cancelled(now - sent_at, now)
            ejected = state.last_answered_at < sent_at and state.ejection.record_failure(now)
        self._release(state, now)
        return ejected

    def release_unused(self, state: UpstreamState, now: float) -> None:
        """Give a slot back unused."""
        self._release(state, now)

    def update_snapshots(self, state: UpstreamState, snapshots: frozenset[SnapshotId]) -> None:
        """Learn which snapshots the replica holds."""
        if snapshots != state.snapshots:
            state.snapshots = snapshots
            self.selections.clear()

    def remove_snapshot(self, state: UpstreamState, snapshot: SnapshotId) -> None:
        """Learn that the replica no longer holds a snapshot."""
        self.update_snapshots(state, state.snapshots - {snapshot})

    def on_drain_reported(self, state: UpstreamState, draining: bool, now: float) -> bool:
        """Learn the replica's own drain signal; return true when a drain begins."""
        was_draining = state.draining
        begins = state.drain.report(draining, now)
        if state.draining != was_draining:
            self.selections.clear()
        return begins

    def on_platform_list(self, leaving: Collection[str]) -> list[UpstreamState]:
        """Learn whom the platform lists as leaving; return those for whom that is new.

        The list lags and may be wrong, so it never takes the last replica of a
        service away: where it names all that are left, their own word counts.
        """
        newly_listed = []
        for states in self.by_service.values():
            listed_names = {state.name for state in states if state.name in leaving}
            remaining = [
                state for state in states if state.name not in listed_names and not state.draining
            ]
            for state in states:
                listed = state.name in listed_names and bool(remaining)
                if listed and not state.listed_leaving:
                    newly_listed.append(state)
                state.listed_leaving = listed
        self.selections.clear()
        return newly_listed

    def on_probe_failed(self, state: UpstreamState, now: float) -> bool:
        """Learn that the replica did not answer a status request; return true if ejected."""
        if state.ejection.is_ejected(now):
            state.ejection.extend(now)
            return False
        return state.ejection.record_failure(now)

    def grant_free_slots(self, service: str, now: float) -> None:
        """Hand free slots of a service to the queries that wait for them."""
        queue = self.queues.get(service)
        while queue:
            waiter = queue[0]
            if not waiter.is_waiting(service, now):
                queue.popleft()
                continue
            snapshot = waiter.required_snapshot(service)
            candidates = self.candidates(service, snapshot, waiter.excluded_upstreams(service), now)
            if not candidates:
                queue.popleft()
                waiter.on_unservable(service, now)
                continue
            state = self.acquire_best(candidates, now)
            if state is None:
                return
            queue.popleft()
            waiter.on_slot_granted(service, state, now)

    def _connection_share(self, upstream: Upstream, now: float) -> int:
        if self.shares is None:
            return upstream.connections
        return self.shares.share_for(upstream.connections, now)

    def _release(self, state: UpstreamState, now: float) -> None:
        state.in_flight -= 1
        self.grant_free_slots(state.upstream.service, now)

    def _held_snapshots(self, service: str) -> set[SnapshotId]:
        held: set[SnapshotId] = set()
        for state in self.by_service.get(service, ()):
            if not state.draining:
                held |= state.snapshots
        return held

    def _max_queue_length(self, service: str) -> int:
        slots = sum(item.upstream.slots for item in self.by_service.get(service, ()))
        return MAX_QUEUE_PER_SLOT * max(1, slots)


def _address_changed(state: UpstreamState, host: str, port: int) -> bool:
    return (state.upstream.host, state.upstream.port) != (host, port)
