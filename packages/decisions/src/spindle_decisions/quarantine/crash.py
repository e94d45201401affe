"""One crash that requests with one fingerprint were part of."""

import dataclasses


@dataclasses.dataclass
class Crash:
    """The first request whose attempts broke, and the upstreams that ended them.

    `sent_at` is when its first attempt was sent and `broken_at` when the last one broke.
    """

    request_id: str
    sent_at: float
    broken_at: float
    upstreams: set[str]

    def includes(self, request_id: str, sent_at: float, broken_at: float) -> bool:
        """Return whether an attempt that broke is explained by this crash.

        One that was in flight at the same time is: a crash ends all that an upstream runs.
        """
        is_concurrent = sent_at <= self.broken_at and broken_at >= self.sent_at
        return is_concurrent or request_id == self.request_id
