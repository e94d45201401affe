"""The upstreams with their slots and queues, shared by all queries of this instance."""

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
    """Holds the states of all upstreams and one bounded queue per service.

    Queries acquire slots with `acquire_best` or `acquire` and return them with
    one of the `release_*` methods. A released slot goes to the query that has
    waited longest at the service. Without `shares` this instance uses all the
    connections that an upstream accepts.
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
        """Apply a newer catalog; upstreams with an unchanged address keep their state."""
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
        """Recalculate all connection shares; return the states whose share changed."""
        changed = []
        for state in self.states.values():
            connection_share = self._connection_share(state.upstream, now)
            if connection_share != state.connection_share:
                state.connection_share = connection_share
                changed.append(state)
        return changed

    def choose_snapshot(self, group: str) -> SnapshotSelection | None:
        """Choose the snapshot to which a query of the group is pinned."""
        if group not in self.selections:
            self.selections[group] = choose_snapshot(self.index, group, self._held_snapshots)
        return self.selections[group]

    def newest_snapshot(self, service: str) -> SnapshotId | None:
        """Return the newest snapshot that a replica of the service holds and may serve."""
        return max(self._held_snapshots(service), default=None)

    def candidates(
        self, service: str, snapshot: SnapshotId | None, excluded: Collection[str], now: float
    ) -> list[UpstreamState]:
        """Return the replicas that may serve the snapshot, with or without a free slot."""
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
        """Acquire a slot at the best candidate; return `None` if none has a free slot."""
        ready = [state for state in candidates if self.policy.admits_request(state)]
        if not ready:
            return None
        state = self.policy.choose_replica(ready, now, self.rng)
        self.acquire(state)
        return state

    def acquire(self, state: UpstreamState) -> None:
        """Acquire a slot at this replica."""
        state.in_flight += 1

    def enqueue(self, service: str, waiter: SlotWaiter) -> bool:
        """Add a waiter to the queue of the service; return false if the queue is full."""
        queue = self.queues.get(service)
        if queue is None or len(queue) >= self._max_queue_length(service):
            return False
        queue.append(waiter)
        return True

    def remove_waiter(self, service: str, waiter: SlotWaiter) -> None:
        """Remove a waiter from the queue of the service, if it is there."""
        queue = self.queues.get(service)
        if queue is not None and waiter in queue:
            queue.remove(waiter)

    def queue_length(self, service: str) -> int:
        """Return how many requests wait for a slot at the service."""
        return len(self.queues.get(service, ()))

    def queue_fills(self, services: Iterable[str], left_s: float) -> list[float]:
        """Return the queue fill of each service for a request with `left_s` to its deadline.

        The fill is 1.0 if the expected wait takes `QUEUE_WAIT_RATIO` of that time.
        """
        max_wait_s = max(MIN_QUEUE_WAIT_S, QUEUE_WAIT_RATIO * left_s)
        return [self.expected_wait_s(name) / max_wait_s for name in services]

    def expected_wait_s(self, service: str) -> float:
        """Estimate how long the last request in the queue of the service waits for a slot."""
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
        """Release a slot after a good answer; return true if this ends an ejection."""
        state.latency.observe(latency_s, now)
        state.last_answered_at = now
        state.limit.on_success(latency_s, state.in_flight, now)
        ejection_ended = state.ejection.record_success()
        self._release(state, now)
        return ejection_ended

    def release_failure(self, state: UpstreamState, kind: FailureKind, now: float) -> bool:
        """Release a slot after a failure; return true if this ejects the replica."""
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
        """Release a slot after a cancellation; return true if this ejects the replica.

        `slow` means that another replica answered first or the deadline passed.
        This counts as a failure only if the replica has answered no request since
        `sent_at`: if it still answers others, it is only loaded, else it is stuck.
        """
        ejected = False
        if slow:
            state.latency.observe_cancelled(now - sent_at, now)
            ejected = state.last_answered_at < sent_at and state.ejection.record_failure(now)
        self._release(state, now)
        return ejected

    def release_unused(self, state: UpstreamState, now: float) -> None:
        """Release a slot for which no request was sent."""
        self._release(state, now)

    def update_snapshots(self, state: UpstreamState, snapshots: frozenset[SnapshotId]) -> None:
        """Set the snapshots that the replica holds."""
        if snapshots != state.snapshots:
            state.snapshots = snapshots
            self.selections.clear()

    def remove_snapshot(self, state: UpstreamState, snapshot: SnapshotId) -> None:
        """Remove a snapshot that the replica no longer holds."""
        self.update_snapshots(state, state.snapshots - {snapshot})

    def on_drain_reported(self, state: UpstreamState, draining: bool, now: float) -> bool:
        """Apply the drain signal of the replica itself; return true if a drain begins."""
        was_draining = state.draining
        begins = state.drain.report(draining, now)
        if state.draining != was_draining:
            self.selections.clear()
        return begins

    def on_platform_list(self, leaving: Collection[str]) -> list[UpstreamState]:
        """Apply the platform's list of leaving upstreams; return the newly listed ones.

        The list lags and may be wrong, so it never takes the last replica of a
        service out of use: if it names all replicas that are not draining anyway,
        it is ignored for that service, and only their own drain signals count.
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
        """Record that a status request failed; return true if this ejects the replica."""
        if state.ejection.is_ejected(now):
            state.ejection.extend(now)
            return False
        return state.ejection.record_failure(now)

    def grant_free_slots(self, service: str, now: float) -> None:
        """Grant the free slots of a service to the requests in its queue, in order."""
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
