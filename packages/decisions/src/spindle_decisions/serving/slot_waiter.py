"""The interface of requests that wait for a slot."""

from typing import Protocol

from spindle_decisions.serving.snapshot_id import SnapshotId
from spindle_decisions.serving.upstream_state import UpstreamState


class SlotWaiter(Protocol):
    """A request in the queue of a service, waiting for a slot at one of the replicas."""

    def is_waiting(self, service: str, now: float) -> bool:
        """Return whether the slot is still wanted."""

    def required_snapshot(self, service: str) -> SnapshotId | None:
        """Return the snapshot that the replica must hold, or `None` for any."""

    def excluded_upstreams(self, service: str) -> frozenset[str]:
        """Return the names of the upstreams that must not be chosen."""

    def on_slot_granted(self, service: str, state: UpstreamState, now: float) -> None:
        """Use the slot that was acquired for this request at `state`."""

    def on_unservable(self, service: str, now: float) -> None:
        """Stop waiting, because no replica can serve the request any more."""
