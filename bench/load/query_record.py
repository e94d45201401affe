"""What became of one query."""

import msgspec

from bench.load.answer_error_kind import AnswerErrorKind
from bench.load.outcome import Outcome
from spindle_decisions.exceptions import DeadlineExceededError


class QueryRecord(msgspec.Struct, frozen=True):
    """One query as its caller saw it.

    `at_s` is the intended arrival after the start of the load, and `latency_ms`
    counts from there, so a generator that falls behind hides nothing. `mark` is
    the query's unique content. `not_run` tells that a refusal said so.
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
        """The covered share of the services; 0 without an answer."""
        return self.covered / self.services if self.services else 0.0

    @property
    def declined(self) -> bool:
        """Tell whether it was refused without a try: it ran nowhere and did not time out."""
        return self.not_run and self.code != DeadlineExceededError.code

    @property
    def complete(self) -> bool:
        """Tell whether it was answered with every service covered."""
        return self.outcome is Outcome.ANSWERED and self.covered == self.services > 0
