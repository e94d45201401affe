"""A bounded ring of events."""

from collections import deque

from spindle_decisions.timeline.event import Event
from spindle_decisions.timeline.event_filter import EventFilter
from spindle_decisions.timeline.timeline_reply import TimelineReply

DEFAULT_RING_EVENTS = 20_000
MAX_REPLY_EVENTS = 5_000


class EventRing:
    """Keeps the newest events of one process and counts those it let go.

    Appending is constant in time; a reader walks the whole ring, which is meant
    for a person's question and not for a loop.
    """

    def __init__(self, instance: str, capacity: int = DEFAULT_RING_EVENTS) -> None:
        self.instance = instance
        self.events: deque[Event] = deque(maxlen=capacity)
        self.capacity = capacity
        self.dropped = 0

    def append(self, event: Event) -> None:
        """Keep an event; the oldest one leaves a full ring."""
        if len(self.events) == self.capacity:
            self.dropped += 1
        self.events.append(event)

    def select(self, wanted: EventFilter, limit: int = MAX_REPLY_EVENTS) -> TimelineReply:
        """Return the oldest `limit` matching events.

        A reader that got `limit` events asks again after the last stamp of the
        reply, as one that follows the time line does anyway.
        """
        events: list[Event] = []
        for event in self.events:
            if len(events) == limit:
                break
            if wanted.matches(event):
                events.append(event)
        oldest_ms = self.events[0].stamp.wall_ms if self.events else 0
        return TimelineReply(self.instance, tuple(events), self.dropped, oldest_ms)
