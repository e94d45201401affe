"""The frame that carries one message between two processes."""

import msgspec

from spindle_decisions.timeline.hlc_stamp import HlcStamp
from spindle_decisions.wire.message import Message


class Frame(msgspec.Struct, frozen=True):
    """A message, the name of the process that sent it, and the hybrid clock of that process."""

    sender: str
    stamp: HlcStamp
    message: Message
