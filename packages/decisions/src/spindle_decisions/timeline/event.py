"""One event on the time line."""

import msgspec

from spindle_decisions.timeline.event_kind import EventKind
from spindle_decisions.timeline.hlc_stamp import HlcStamp


class Event(msgspec.Struct, frozen=True):
    """What one process decided or saw, when, and why.

    Only the fields that apply are set; `reason` is one short sentence.
    """

    stamp: HlcStamp
    instance: str
    kind: EventKind
    reason: str = ""
    request_id: str = ""
    note: int = 0
    upstream: str = ""
    service: str = ""
    peer: str = ""
