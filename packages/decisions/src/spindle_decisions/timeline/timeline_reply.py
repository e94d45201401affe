"""The answer of one process to a question for its time line."""

import msgspec

from spindle_decisions.timeline.event import Event


class TimelineReply(msgspec.Struct, frozen=True):
    """The events that one process still holds, oldest first.

    `dropped` counts the events that left the bounded ring since the process
    started, and `oldest_ms` is the wall clock part of the oldest event still
    held: what is asked for from before it may be missing.
    """

    instance: str
    events: tuple[Event, ...]
    dropped: int
    oldest_ms: int = 0
