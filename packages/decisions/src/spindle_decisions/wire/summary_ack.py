"""The answer to a minute summary."""

import msgspec


class SummaryAck(msgspec.Struct, frozen=True, tag="summary-ack"):
    """The minute is on disk at `control`, at this revision or a later one."""

    control: str
    instance: str
    incarnation: int
    minute: int
    revision: int = 0
