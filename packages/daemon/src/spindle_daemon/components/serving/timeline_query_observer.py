"""Adds the decisions of one query to the timeline."""

from spindle_daemon.core.timeline_sink import TimelineSink
from spindle_decisions.serving.failure_kind import FailureKind
from spindle_decisions.serving.snapshot_id import SnapshotId
from spindle_decisions.timeline.event_kind import EventKind


class TimelineQueryObserver:
    """Adds the pinned snapshot and all exceptional events; implements `QueryObserver`."""

    def __init__(self, timeline: TimelineSink, request_id: str) -> None:
        self.timeline = timeline
        self.request_id = request_id

    def on_snapshot_pinned(self, snapshot: SnapshotId) -> None:
        """Report the pinned snapshot."""
        self.timeline.add(EventKind.SNAPSHOT_PINNED, str(snapshot), request_id=self.request_id)

    def on_hedge_sent(self, service: str, upstream: str) -> None:
        """Report a hedge."""
        self.timeline.add(
            EventKind.HEDGE_SENT,
            "no answer within the learned quantile",
            request_id=self.request_id,
            upstream=upstream,
            service=service,
        )

    def on_retry_sent(self, service: str, upstream: str) -> None:
        """Report a retry."""
        self.timeline.add(
            EventKind.RETRY_SENT,
            "the sub-request before it failed",
            request_id=self.request_id,
            upstream=upstream,
            service=service,
        )

    def on_attempt_failed(self, service: str, upstream: str, kind: FailureKind) -> None:
        """Report a failed sub-request."""
        self.timeline.add(
            EventKind.ATTEMPT_FAILED,
            kind.value,
            request_id=self.request_id,
            upstream=upstream,
            service=service,
        )

    def on_restarted(self, before: SnapshotId, after: SnapshotId) -> None:
        """Report a restart on another snapshot."""
        self.timeline.add(
            EventKind.QUERY_RESTARTED,
            f"{before} is gone, restarted on {after}",
            request_id=self.request_id,
        )

    def on_ejected(self, upstream: str) -> None:
        """Report an ejection."""
        self.timeline.add(
            EventKind.REPLICA_EJECTED,
            "consecutive failures",
            request_id=self.request_id,
            upstream=upstream,
        )

    def on_ejection_ended(self, upstream: str) -> None:
        """Report the end of an ejection."""
        self.timeline.add(
            EventKind.REPLICA_RESTORED,
            "it answers again",
            request_id=self.request_id,
            upstream=upstream,
        )
