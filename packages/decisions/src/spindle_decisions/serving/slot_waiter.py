"""Whoever waits for a slot at a service."""

from typing import Protocol

from spindle_decisions.serving.snapshot_id import SnapshotId
from spindle_decisions.serving.upstream_state import UpstreamState


class SlotWaiter(Protocol):
    """A request that waits for a slot at one of its services."""

    def is_waiting(self, service: str, now: float) -> bool:
        """Tell whether the slot is still wanted."""

    def required_snapshot(self, service: str) -> SnapshotId | None:
        """Return the snapshot to be served, or `None` for any."""

    def excluded_upstreams(self, service: str) -> frozenset[str]:
        """Return the upstreams that must not be chosen."""

    def on_slot_granted(self, service: str, state: UpstreamState, now: float) -> None:
        """Use the slot that was taken for it."""

    def on_unservable(self, service: str, now: float) -> None:
        """Learn that no replica can serve it any more."""
