"""Checks the content of answers."""

from collections.abc import Callable, Mapping

from bench.load.answer_error_kind import AnswerErrorKind
from bench.load.query_answer import QueryAnswer

MARK_KEY = "mark"

ServicesByEpoch = Mapping[str, frozenset[str]]


class AnswerCheck:
    """Finds errors in answers.

    `services` maps a partition epoch to the services of the group in that epoch;
    for an epoch that it does not contain, the answer's list of services is not
    compared with that of the group.
    """

    def __init__(self, services: ServicesByEpoch) -> None:
        self.services = services

    def find_errors(self, answer: QueryAnswer, mark: str) -> tuple[AnswerErrorKind, ...]:
        """Return the kinds of errors in the answer to the query with this mark."""
        covered = set(answer.covered)
        services_with_rows = {row.service for row in answer.rows}
        checks: dict[AnswerErrorKind, Callable[[], bool]] = {
            AnswerErrorKind.MIXED: lambda: any(
                row.snapshot != answer.snapshot for row in answer.rows
            ),
            AnswerErrorKind.FOREIGN: lambda: any(
                row.echo.get(MARK_KEY) != mark for row in answer.rows
            ),
            AnswerErrorKind.DUPLICATED: lambda: self._duplicated(answer),
            AnswerErrorKind.MISCOUNTED: lambda: self._miscounted(answer),
            AnswerErrorKind.UNCOVERED: lambda: bool(services_with_rows - covered),
            AnswerErrorKind.EMPTY: lambda: bool(covered - services_with_rows),
        }
        return tuple(kind for kind, holds in checks.items() if holds())

    def _duplicated(self, answer: QueryAnswer) -> bool:
        return len({(row.service, row.key) for row in answer.rows}) < len(answer.rows)

    def _miscounted(self, answer: QueryAnswer) -> bool:
        reported = answer.covered + answer.missing
        if len(set(reported)) != len(reported) or len(reported) != answer.services_total:
            return True
        epoch = answer.snapshot.partition(".")[0]
        return set(reported) != self.services.get(epoch, frozenset(reported))
