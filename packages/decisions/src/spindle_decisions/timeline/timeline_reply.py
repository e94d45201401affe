"""The answer of one process to a question for its time line."""

import msgspec

from spindle_decisions.timeline.event import Event


class TimelineReply(msgspec.Struct, frozen=True):
    """The events that one process still holds, oldest first.

    `dropped` counts the events that left the bounded ring since the process
    started, and `complete_from_ms` is the wall clock part of a stamp from which
    on none is missing; 0 while nothing was dropped.
    """

    instance: str
    events: tuple[Event, ...]
    dropped: int
    complete_from_ms: int = 0
