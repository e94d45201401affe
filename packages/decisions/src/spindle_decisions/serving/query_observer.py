"""The interface through which a query reports its decisions."""

from typing import Protocol

from spindle_decisions.serving.failure_kind import FailureKind
from spindle_decisions.serving.snapshot_id import SnapshotId


class QueryObserver(Protocol):
    """Receives the decisions of a query as they are made, for the timeline."""

    def on_snapshot_pinned(self, snapshot: SnapshotId) -> None:
        """The query was pinned to this snapshot."""

    def on_hedge_sent(self, service: str, upstream: str) -> None:
        """A hedge was sent."""

    def on_retry_sent(self, service: str, upstream: str) -> None:
        """A retry was sent."""

    def on_attempt_failed(self, service: str, upstream: str, kind: FailureKind) -> None:
        """A sub-request failed."""

    def on_restarted(self, before: SnapshotId, after: SnapshotId) -> None:
        """The whole query was restarted, on the snapshot `after` instead of `before`."""

    def on_ejected(self, upstream: str) -> None:
        """A replica was ejected."""

    def on_ejection_ended(self, upstream: str) -> None:
        """The ejection of a replica ended, because it answered again."""
