"""The answer to a repair request."""

import msgspec


class RepairReply(msgspec.Struct, frozen=True):
    """The findings and the steps taken, as sentences."""

    steps: tuple[str, ...] = ()
    text: str = ""
