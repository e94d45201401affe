"""Merging of the time lines of many processes."""

from collections.abc import Iterable

from spindle_decisions.timeline.event import Event
from spindle_decisions.timeline.timeline_reply import TimelineReply


def merge_events(replies: Iterable[TimelineReply]) -> tuple[Event, ...]:
    """Return the events of all processes, cause before effect.

    Stamps of a hybrid logical clock grow along every chain of messages, so the
    order by stamp keeps cause before effect however far the wall clocks are
    apart. Events that have nothing to do with each other stand in the order
    their clocks give. The events of one process keep their order, and a process
    that answered twice counts once.
    """
    events: dict[tuple[int, int, str], Event] = {}
    for reply in replies:
        for event in reply.events:
            key = (event.stamp.wall_ms, event.stamp.counter, event.instance)
            events[key] = event
    return tuple(events[key] for key in sorted(events))
