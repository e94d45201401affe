"""What an answer means, and what may be said about a run."""

import unittest

from nose2.tools import params

from spindle_decisions.exceptions import NotRunError, OutcomeUnknownError
from spindle_decisions.serving.failure_kind import FailureKind
from spindle_decisions.serving.reply_verdict import reply_verdict
from spindle_decisions.serving.run_fate import MAX_DISPATCHES, RunFate

MINE, FOREIGN, NONE = "r1.1", "r2.7", ""
SHED, BROKEN, UNSENT = FailureKind.SHED, FailureKind.BROKEN, FailureKind.UNSENT


class TestVerdict(unittest.TestCase):
    @params(
        (200, MINE, False, False, None),
        (200, MINE, False, True, None),
        (200, FOREIGN, False, False, BROKEN),
        (200, NONE, False, False, BROKEN),
        (503, MINE, True, False, SHED),
        (503, NONE, True, False, SHED),
        (503, MINE, True, True, FailureKind.DRAINING),
        (503, MINE, False, False, BROKEN),
        (503, FOREIGN, True, False, BROKEN),
        (409, MINE, True, False, FailureKind.SNAPSHOT_GONE),
        (409, MINE, False, False, BROKEN),
        (504, MINE, True, False, FailureKind.TOO_LATE),
        (504, MINE, False, False, BROKEN),
        (400, MINE, True, False, FailureKind.REJECTED),
        (500, MINE, False, False, BROKEN),
    )
    def test_verdict(
        self, status: int, echoed: str, not_run: bool, draining: bool, kind: FailureKind | None
    ) -> None:
        self.assertEqual(kind, reply_verdict(status, MINE, echoed, not_run, draining))


class TestRunFate(unittest.TestCase):
    @params(
        ([], True, NotRunError),
        ([UNSENT], True, NotRunError),
        ([SHED, UNSENT], True, NotRunError),
        ([SHED] * MAX_DISPATCHES, False, NotRunError),
        ([BROKEN], False, OutcomeUnknownError),
        ([SHED, BROKEN], False, OutcomeUnknownError),
        ([FailureKind.TOO_LATE, FailureKind.REJECTED], True, NotRunError),
    )
    def test_fate(self, failures: list[FailureKind], again: bool, refusal: type) -> None:
        fate = RunFate()
        for kind in failures:
            fate.failed(kind)
        self.assertEqual(again, fate.may_dispatch)
        self.assertIsInstance(fate.refusal(), refusal)
