"""Explanation of one request in sentences."""

from spindle_decisions.timeline.event import Event
from spindle_decisions.timeline.event_descriptions import EVENT_DESCRIPTIONS
from spindle_decisions.timeline.event_kind import EventKind


def explain_request(request_id: str, events: tuple[Event, ...]) -> tuple[str, ...]:
    """Return one sentence per event of a request, and one for a missing arrival or end.

    `events` is the merged timeline; events of other requests are skipped. Each
    sentence begins with the milliseconds since the first event, by the wall clock
    part of the stamps.
    """
    request_events = [event for event in events if event.request_id == request_id]
    if not request_events:
        return (f"None of the queried processes has events of request {request_id}.",)
    first_ms = request_events[0].stamp.wall_ms
    sentences = [
        f"{event.stamp.wall_ms - first_ms:+6d} ms  {describe_event(event)}"
        for event in request_events
    ]
    return (*sentences, *_missing_ends(request_events))


def describe_event(event: Event) -> str:
    """Describe an event in one sentence."""
    description = EVENT_DESCRIPTIONS.get(event.kind, str(event.kind))
    text = f"{event.instance} {description}"
    if event.upstream:
        text += f" at upstream {event.upstream}"
    if event.service:
        text += f" for service {event.service}"
    if event.peer:
        text += f" with {event.peer}"
    if event.note:
        text += f" (note {event.note})"
    return f"{text}: {event.reason}." if event.reason else f"{text}."


def _missing_ends(request_events: list[Event]) -> list[str]:
    kinds = {event.kind for event in request_events}
    found: list[str] = []
    if EventKind.REQUEST_ARRIVED not in kinds:
        found.append("Its arrival is not recorded: the timeline does not reach back far enough.")
    if EventKind.REQUEST_FINISHED not in kinds:
        found.append("Its end is not recorded: it is under way, or the instance was lost.")
    return found
