"""What a query reports about its decisions as they happen."""

from typing import Protocol

from spindle_decisions.serving.failure_kind import FailureKind
from spindle_decisions.serving.snapshot_id import SnapshotId


class ScatterNotes(Protocol):
    """The listener of a query, for the time line."""

    def pinned(self, snapshot: SnapshotId) -> None:
        """The query is pinned to this snapshot."""

    def hedged(self, service: str, upstream: str) -> None:
        """A hedge was sent."""

    def retried(self, service: str, upstream: str) -> None:
        """A retry was sent."""

    def attempt_failed(self, service: str, upstream: str, kind: FailureKind) -> None:
        """A sub-request failed."""

    def restarted(self, before: SnapshotId, after: SnapshotId) -> None:
        """The whole query starts again on another snapshot."""

    def ejected(self, upstream: str) -> None:
        """A replica was ejected."""

    def restored(self, upstream: str) -> None:
        """An ejected replica answers again."""
