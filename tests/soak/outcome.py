"""Outcome of one request as its caller observed it."""

import dataclasses

from tests.daemon.routed.common import Answer


@dataclasses.dataclass(frozen=True)
class Outcome:
    """A request and its answer; times are monotonic seconds.

    `answer` has status 0 if the connection ended before any of it arrived.
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
        """Return whether the answer is complete with status 200."""
        return self.answer.complete and self.answer.status == 200
