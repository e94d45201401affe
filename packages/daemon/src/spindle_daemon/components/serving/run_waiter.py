"""A non-idempotent request that waits for a slot."""

from gevent.event import Event

from spindle_decisions.serving.snapshot_id import SnapshotId
from spindle_decisions.serving.upstream_state import UpstreamState


class RunWaiter:
    """Waits at one service; any snapshot will do."""

    def __init__(self, deadline: float, avoid: frozenset[str]) -> None:
        self.deadline = deadline
        self.excluded = avoid
        self.state: UpstreamState | None = None
        self.done = False
        self.event = Event()

    def is_waiting(self, service: str, now: float) -> bool:
        """Tell whether the slot is still wanted."""
        return not self.done and now < self.deadline

    def required_snapshot(self, service: str) -> SnapshotId | None:
        """Take any snapshot."""
        return None

    def excluded_upstreams(self, service: str) -> frozenset[str]:
        """Return the replicas that were tried."""
        return self.excluded

    def on_slot_granted(self, service: str, state: UpstreamState, now: float) -> None:
        """Take the slot."""
        self.state = state
        self.event.set()

    def on_unservable(self, service: str, now: float) -> None:
        """Stop waiting."""
        self.done = True
        self.event.set()
