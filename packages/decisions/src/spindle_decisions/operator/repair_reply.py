"""The answer to a repair request."""

import msgspec


class RepairReply(msgspec.Struct, frozen=True):
    """Sentences on the findings or the steps taken.

    `text` is the recommended action, or the consequence of the steps.
    """

    steps: tuple[str, ...] = ()
    text: str = ""
