"""Checks of an answer by its content alone."""

from collections.abc import Callable, Mapping

from bench.load.answer_error_kind import AnswerErrorKind
from bench.load.query_answer import QueryAnswer

MARK_KEY = "mark"

ServicesByEpoch = Mapping[str, frozenset[str]]


class AnswerCheck:
    """Finds what is wrong with answers.

    `services` maps a partition epoch to the services that the group then has;
    an epoch that is not in it is checked only against the answer itself.
    """

    def __init__(self, services: ServicesByEpoch) -> None:
        self.services = services

    def find_errors(self, answer: QueryAnswer, mark: str) -> tuple[AnswerErrorKind, ...]:
        """Return what is wrong with the answer to the query with this mark."""
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
