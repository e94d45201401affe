"""What a caller saw of one request."""

import dataclasses

from tests.daemon.routed.common import Answer


@dataclasses.dataclass(frozen=True)
class Outcome:
    """One request and its answer; times are monotonic seconds.

    `answer` has no status if the connection ended before any of it came.
    """

    request_id: str
    kind: str
    target: str
    entry: str
    sent_at: float
    ended_at: float
    answer: Answer

    @property
    def served(self) -> bool:
        """Return whether it is a whole success."""
        return self.answer.complete and self.answer.status == 200
