"""The frame that carries one message between two processes."""

import msgspec

from spindle_decisions.timeline.hlc_stamp import HlcStamp
from spindle_decisions.wire.message import Message


class Frame(msgspec.Struct, frozen=True):
    """A message, the name of the process that sent it, and the hybrid clock of that process.

    `origin` is the address at which the sender receives frames, and `seq` the number of this
    frame among all that it sent. `ack` is the number of the last frame that reached it from
    the receiver, 0 if none did. A sender without acknowledgements leaves all three out.
    """

    sender: str
    stamp: HlcStamp
    message: Message
    origin: str = msgspec.field(default="", name="o")
    seq: int = msgspec.field(default=0, name="q")
    ack: int = msgspec.field(default=0, name="a")
