"""Where components put events of the time line."""

from typing import Protocol

from spindle_decisions.timeline.event_kind import EventKind


class TimelineSink(Protocol):
    """The time line of this process."""

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
        """Put an event on the time line with the current stamp."""
