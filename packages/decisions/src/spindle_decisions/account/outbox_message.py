"""One summary to send."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class OutboxMessage:
    """Send the encoded summary of a minute to a control instance."""

    address: str
    minute: int
    data: bytes
