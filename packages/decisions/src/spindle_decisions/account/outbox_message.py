"""A minute summary to send."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class OutboxMessage:
    """The encoded summary of a minute and the control address to send it to."""

    address: str
    minute: int
    data: bytes
