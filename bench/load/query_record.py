"""The record of one query."""

import msgspec

from bench.load.answer_error_kind import AnswerErrorKind
from bench.load.outcome import Outcome
from spindle_decisions.exceptions import DeadlineExceededError


class QueryRecord(msgspec.Struct, frozen=True):
    """The result of one query from its caller's point of view.

    `at_s` is the intended arrival after the start of the load. `latency_ms` counts
    from the intended arrival, so that it includes delays of the generator. `mark`
    is the unique content of the query. `not_run` is true if the query was refused
    with the statement that it did not run.
    """

    mark: str
    at_s: float
    latency_ms: float
    outcome: Outcome
    entry: int
    code: str = ""
    not_run: bool = False
    snapshot: str = ""
    covered: int = 0
    services: int = 0
    missing: tuple[str, ...] = ()
    wrong: tuple[AnswerErrorKind, ...] = ()

    @property
    def coverage(self) -> float:
        """The covered fraction of the services; 0 without an answer."""
        return self.covered / self.services if self.services else 0.0

    @property
    def declined(self) -> bool:
        """Whether it was refused without an attempt: it did not run and did not time out."""
        return self.not_run and self.code != DeadlineExceededError.code

    @property
    def complete(self) -> bool:
        """Whether it was answered with every service covered."""
        return self.outcome is Outcome.ANSWERED and self.covered == self.services > 0
