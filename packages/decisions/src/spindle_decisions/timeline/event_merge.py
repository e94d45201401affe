"""Merges the timelines of several processes."""

from collections.abc import Iterable

from spindle_decisions.timeline.event import Event
from spindle_decisions.timeline.timeline_reply import TimelineReply


def merge_events(replies: Iterable[TimelineReply]) -> tuple[Event, ...]:
    """Return the events of all processes in causal order.

    Stamps of a hybrid logical clock increase along every chain of messages, so
    sorting by stamp puts a cause before its effect, however far the wall clocks
    differ. Causally unrelated events are in the order of their clocks. The
    events of one process keep their order, and duplicates from a process that
    replied twice are removed.
    """
    events: dict[tuple[int, int, str], Event] = {}
    for reply in replies:
        for event in reply.events:
            key = (event.stamp.wall_ms, event.stamp.counter, event.instance)
            events[key] = event
    return tuple(events[key] for key in sorted(events))
