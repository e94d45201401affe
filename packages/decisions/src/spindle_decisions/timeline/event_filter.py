"""The choice of events to show."""

import dataclasses

from spindle_decisions.timeline.event import Event
from spindle_decisions.timeline.hlc_stamp import HlcStamp


@dataclasses.dataclass(frozen=True)
class EventFilter:
    """Which events are asked for; an empty field asks for all.

    `after` leaves out everything up to and including that stamp, so a reader
    that passes the last stamp it saw gets each event once.
    """

    after: HlcStamp = HlcStamp(0, 0)
    request_id: str = ""
    note: int = 0
    upstream: str = ""

    def matches(self, event: Event) -> bool:
        """Tell whether the event is asked for."""
        if event.stamp <= self.after:
            return False
        if self.request_id and event.request_id != self.request_id:
            return False
        if self.note and event.note != self.note:
            return False
        return not self.upstream or event.upstream == self.upstream
