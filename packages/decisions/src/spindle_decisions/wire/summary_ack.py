"""The acknowledgement of a minute summary."""

import msgspec


class SummaryAck(msgspec.Struct, frozen=True, tag="summary-ack"):
    """The minute is on the disk of `control`, in this revision or a later one."""

    control: str
    instance: str
    incarnation: int
    minute: int
    revision: int = 0
