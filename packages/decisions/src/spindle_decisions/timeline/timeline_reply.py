"""Reply of one process to a timeline query."""

import msgspec

from spindle_decisions.timeline.event import Event


class TimelineReply(msgspec.Struct, frozen=True):
    """The matching events that one process still holds, oldest first.

    `dropped` counts the events dropped from the ring buffers since the process
    started. `complete_from_ms` is the wall clock part of the stamp from which on
    no event is missing; it is 0 while nothing was dropped.
    """

    instance: str
    events: tuple[Event, ...]
    dropped: int
    complete_from_ms: int = 0
