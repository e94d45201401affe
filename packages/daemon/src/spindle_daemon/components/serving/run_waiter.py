"""A non-idempotent request that waits for a slot."""

from gevent.event import Event

from spindle_decisions.serving.snapshot_id import SnapshotId
from spindle_decisions.serving.upstream_state import UpstreamState


class RunWaiter:
    """Waits in the queue of one service for a slot; implements `SlotWaiter`."""

    def __init__(self, deadline: float, excluded: frozenset[str]) -> None:
        self.deadline = deadline
        self.excluded = excluded
        self.state: UpstreamState | None = None
        self.done = False
        self.event = Event()

    def is_waiting(self, service: str, now: float) -> bool:
        """Return whether the slot is still wanted."""
        return not self.done and now < self.deadline

    def required_snapshot(self, service: str) -> SnapshotId | None:
        """Return `None`, as any snapshot is accepted."""
        return None

    def excluded_upstreams(self, service: str) -> frozenset[str]:
        """Return the replicas that were already tried."""
        return self.excluded

    def on_slot_granted(self, service: str, state: UpstreamState, now: float) -> None:
        """Store the acquired slot and wake the waiting greenlet."""
        self.state = state
        self.event.set()

    def on_unservable(self, service: str, now: float) -> None:
        """Wake the waiting greenlet without a slot."""
        self.done = True
        self.event.set()
