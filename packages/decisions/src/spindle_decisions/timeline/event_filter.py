"""Selection of timeline events."""

import dataclasses

from spindle_decisions.timeline.event import Event
from spindle_decisions.timeline.hlc_stamp import HlcStamp


@dataclasses.dataclass(frozen=True)
class EventFilter:
    """Criteria that an event must match; an empty field matches all events.

    `after` excludes events up to and including that stamp, so a reader that
    passes the last stamp it received gets each event once.
    """

    after: HlcStamp = HlcStamp(0, 0)
    request_id: str = ""
    note: int = 0
    upstream: str = ""

    def matches(self, event: Event) -> bool:
        """Return whether an event matches all criteria."""
        if event.stamp <= self.after:
            return False
        if self.request_id and event.request_id != self.request_id:
            return False
        if self.note and event.note != self.note:
            return False
        return not self.upstream or event.upstream == self.upstream
