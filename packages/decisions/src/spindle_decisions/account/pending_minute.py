"""A minute that no control instance has confirmed."""

import dataclasses


@dataclasses.dataclass
class PendingMinute:
    """The newest summary of a minute and when it was last sent, in monotonic seconds."""

    minute: int
    revision: int
    data: bytes
    sent_at: float | None = None
    attempts: int = 0
