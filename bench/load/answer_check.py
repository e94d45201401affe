"""Checks of an answer by its content alone."""

from collections.abc import Callable, Mapping

from bench.load.query_answer import QueryAnswer
from bench.load.wrong_kind import WrongKind

MARK_KEY = "mark"

ServicesByEpoch = Mapping[str, frozenset[str]]


class AnswerCheck:
    """Finds what is wrong with answers.

    `services` maps a partition epoch to the services that the group then has;
    an epoch that is not in it is checked only against the answer itself.
    """

    def __init__(self, services: ServicesByEpoch) -> None:
        self.services = services

    def wrong(self, answer: QueryAnswer, mark: str) -> tuple[WrongKind, ...]:
        """Return what is wrong with the answer to the query with this mark."""
        covered = set(answer.covered)
        with_rows = {row.service for row in answer.rows}
        checks: dict[WrongKind, Callable[[], bool]] = {
            WrongKind.MIXED: lambda: any(row.snapshot != answer.snapshot for row in answer.rows),
            WrongKind.FOREIGN: lambda: any(row.echo.get(MARK_KEY) != mark for row in answer.rows),
            WrongKind.DUPLICATED: lambda: self._duplicated(answer),
            WrongKind.MISCOUNTED: lambda: self._miscounted(answer),
            WrongKind.UNCOVERED: lambda: bool(with_rows - covered),
            WrongKind.EMPTY: lambda: bool(covered - with_rows),
        }
        return tuple(kind for kind, holds in checks.items() if holds())

    def _duplicated(self, answer: QueryAnswer) -> bool:
        return len({(row.service, row.key) for row in answer.rows}) < len(answer.rows)

    def _miscounted(self, answer: QueryAnswer) -> bool:
        told = answer.covered + answer.missing
        if len(set(told)) != len(told) or len(told) != answer.services_total:
            return True
        epoch = answer.snapshot.partition(".")[0]
        return set(told) != self.services.get(epoch, frozenset(told))
