"""The story of one request in sentences."""

from spindle_decisions.timeline.event import Event
from spindle_decisions.timeline.event_kind import EventKind
from spindle_decisions.timeline.phrases import PHRASES


def tell_story(request_id: str, events: tuple[Event, ...]) -> tuple[str, ...]:
    """Tell what happened to a request, one sentence per event.

    `events` is the merged time line. Only what names the request is told; each
    sentence begins with the milliseconds since the first one, as its stamps
    give them.
    """
    own = [event for event in events if event.request_id == request_id]
    if not own:
        return (f"No process that was asked remembers request {request_id}.",)
    first_ms = own[0].stamp.wall_ms
    sentences = [f"{event.stamp.wall_ms - first_ms:+6d} ms  {describe(event)}" for event in own]
    return (*sentences, *_open_ends(own))


def describe(event: Event) -> str:
    """Say in one sentence what an event is."""
    phrase = PHRASES.get(event.kind, str(event.kind))
    text = f"{event.instance} {phrase}"
    if event.upstream:
        text += f" at upstream {event.upstream}"
    if event.service:
        text += f" for service {event.service}"
    if event.peer:
        text += f" with {event.peer}"
    if event.note:
        text += f" (note {event.note})"
    return f"{text}: {event.reason}." if event.reason else f"{text}."


def _open_ends(own: list[Event]) -> list[str]:
    kinds = {event.kind for event in own}
    found: list[str] = []
    if EventKind.REQUEST_ARRIVED not in kinds:
        found.append("Its arrival is not remembered: the time line reaches back too little.")
    if EventKind.REQUEST_FINISHED not in kinds:
        found.append("Its end is not remembered: it is under way, or the instance was lost.")
    return found
