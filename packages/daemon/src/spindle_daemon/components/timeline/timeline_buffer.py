"""The buffer of the timeline events of one process."""

from collections.abc import Mapping

from spindle_decisions.exceptions import BadRequestError
from spindle_decisions.timeline.event import Event
from spindle_decisions.timeline.event_filter import EventFilter
from spindle_decisions.timeline.event_kind import EventKind
from spindle_decisions.timeline.event_ring_buffer import EventRingBuffer
from spindle_decisions.timeline.hlc_stamp import HlcStamp
from spindle_decisions.timeline.hybrid_clock import HybridClock
from spindle_decisions.timeline.stamp_text import parse_stamp
from spindle_decisions.timeline.timeline_reply import TimelineReply

MAX_REASON_CHARS = 300


class TimelineBuffer:
    """Stamps events and keeps the newest ones; implements `TimelineSink`."""

    def __init__(self, instance: str, clock: HybridClock) -> None:
        self.instance = instance
        self.clock = clock
        self.ring = EventRingBuffer(instance)

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
        """Add an event with the current stamp; the reason is cut at `MAX_REASON_CHARS`."""
        stamp = self.clock.tick()
        text = reason[:MAX_REASON_CHARS]
        self.ring.append(
            Event(stamp, self.instance, kind, text, request_id, note, upstream, service, peer)
        )

    def query(self, arguments: Mapping[str, str]) -> TimelineReply:
        """Answer `GET /v1/timeline` with the arguments of its query string.

        The arguments are `since`, `request`, `note` and `upstream`; others are
        ignored. Raises `BadRequestError` for an invalid value.
        """
        return self.ring.select(parse_filter(arguments))


def parse_filter(arguments: Mapping[str, str]) -> EventFilter:
    """Parse the arguments of a query string; raise `BadRequestError` if one is invalid."""
    note = arguments.get("note", "0")
    if not note.isascii() or not note.isdecimal():
        raise BadRequestError(f"note is {note!r}, expected a number")
    since = arguments.get("since", "")
    return EventFilter(
        after=parse_stamp(since) if since else HlcStamp(0, 0),
        request_id=arguments.get("request", ""),
        note=int(note),
        upstream=arguments.get("upstream", ""),
    )
