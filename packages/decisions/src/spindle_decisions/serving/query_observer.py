"""What a query reports about its decisions as they happen."""

from typing import Protocol

from spindle_decisions.serving.failure_kind import FailureKind
from spindle_decisions.serving.snapshot_id import SnapshotId


class QueryObserver(Protocol):
    """The listener of a query, for the time line."""

    def on_snapshot_pinned(self, snapshot: SnapshotId) -> None:
        """The query is pinned to this snapshot."""

    def on_hedge_sent(self, service: str, upstream: str) -> None:
        """A hedge was sent."""

    def on_retry_sent(self, service: str, upstream: str) -> None:
        """A retry was sent."""

    def on_attempt_failed(self, service: str, upstream: str, kind: FailureKind) -> None:
        """A sub-request failed."""

    def on_restarted(self, before: SnapshotId, after: SnapshotId) -> None:
        """The whole query starts again on another snapshot."""

    def on_ejected(self, upstream: str) -> None:
        """A replica was ejected."""

    def on_ejection_ended(self, upstream: str) -> None:
        """An ejected replica answers again."""
