"""Interface for adding events to the timeline."""

from typing import Protocol

from spindle_decisions.timeline.event_kind import EventKind


class TimelineSink(Protocol):
    """The timeline of this process."""

    def add(
        self,
        kind: EventKind,
        reason: str = "",
        *,
        request_id: str = "",
        note: int = 0,
        upstream: str = "",
        service: str = "",
        peer: str = "",
    ) -> None:
        """Add an event with the current stamp."""
