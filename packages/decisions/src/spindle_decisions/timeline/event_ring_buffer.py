"""Bounded ring buffers for the events of one process."""

import heapq
from collections import deque

from spindle_decisions.timeline.event import Event
from spindle_decisions.timeline.event_filter import EventFilter
from spindle_decisions.timeline.hlc_stamp import HlcStamp
from spindle_decisions.timeline.timeline_reply import TimelineReply

MAX_REQUEST_EVENTS = 16_000
MAX_OTHER_EVENTS = 8_000
MAX_REPLY_EVENTS = 5_000


class EventRingBuffer:
    """Keeps the newest events of one process and counts the dropped ones.

    Request events have a ring of their own: under load there are hundreds a
    second, which would evict the drains, elections and notes of the day within a
    minute. Appending takes constant time. Reading scans both rings and is meant
    for interactive queries, not for loops.
    """

    def __init__(
        self,
        instance: str,
        request_events: int = MAX_REQUEST_EVENTS,
        other_events: int = MAX_OTHER_EVENTS,
    ) -> None:
        self.instance = instance
        self.request_events: deque[Event] = deque(maxlen=request_events)
        self.other_events: deque[Event] = deque(maxlen=other_events)
        self.dropped = 0
        self.complete_from_ms = 0

    def append(self, event: Event) -> None:
        """Add an event; a full ring drops its oldest one."""
        ring = self.request_events if event.request_id else self.other_events
        if len(ring) == ring.maxlen:
            self.dropped += 1
            self.complete_from_ms = max(self.complete_from_ms, ring[0].stamp.wall_ms + 1)
        ring.append(event)

    def select(self, event_filter: EventFilter, limit: int = MAX_REPLY_EVENTS) -> TimelineReply:
        """Return the oldest `limit` matching events.

        A reader that receives `limit` events asks again with `after` set to the
        last stamp of the reply, as one that follows the timeline does anyway.
        """
        events: list[Event] = []
        for event in heapq.merge(self.request_events, self.other_events, key=_stamp):
            if len(events) == limit:
                break
            if event_filter.matches(event):
                events.append(event)
        return TimelineReply(self.instance, tuple(events), self.dropped, self.complete_from_ms)


def _stamp(event: Event) -> HlcStamp:
    return event.stamp
