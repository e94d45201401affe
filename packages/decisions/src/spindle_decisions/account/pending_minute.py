"""A minute summary that no control instance has acknowledged."""

import dataclasses


@dataclasses.dataclass
class PendingMinute:
    """The newest summary of a minute and, in monotonic seconds, when it was last sent.

    `sent_at` is `None` while the summary is not in flight.
    """

    minute: int
    revision: int
    data: bytes
    sent_at: float | None = None
    attempts: int = 0
