"""The answer to a repair request."""

import msgspec


class RepairReply(msgspec.Struct, frozen=True):
    """What was found and what was done, in sentences."""

    steps: tuple[str, ...] = ()
    text: str = ""
