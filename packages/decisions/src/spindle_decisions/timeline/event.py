"""One event on the timeline."""

import msgspec

from spindle_decisions.timeline.event_kind import EventKind
from spindle_decisions.timeline.hlc_stamp import HlcStamp


class Event(msgspec.Struct, frozen=True):
    """A decision or observation of one process, with its time and reason.

    Only the fields that apply to the kind are set; `reason` is one short sentence.
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
