"""The answer to a minute summary."""

import msgspec


class SummaryAck(msgspec.Struct, frozen=True, tag="summary-ack"):
    """The minute is on disk at `control`."""

    control: str
    instance: str
    incarnation: int
    minute: int
