"""Tests of the classification of answers and the outcome of failed dispatches."""

import unittest

from nose2.tools import params

from spindle_decisions.exceptions import NotRunError, OutcomeUnknownError
from spindle_decisions.serving.dispatch_outcome import MAX_DISPATCHES, DispatchOutcome
from spindle_decisions.serving.failure_kind import FailureKind
from spindle_decisions.serving.reply_failure import classify_failure

MINE, FOREIGN, NONE = "r1.1", "r2.7", ""
SHED, BROKEN, NOT_SENT = FailureKind.SHED, FailureKind.BROKEN, FailureKind.NOT_SENT


class TestClassifyFailure(unittest.TestCase):
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
    def test_failure_kind(
        self, status: int, echoed: str, not_run: bool, draining: bool, kind: FailureKind | None
    ) -> None:
        self.assertEqual(kind, classify_failure(status, MINE, echoed, not_run, draining))


class TestDispatchOutcome(unittest.TestCase):
    @params(
        ([], True, NotRunError),
        ([NOT_SENT], True, NotRunError),
        ([SHED, NOT_SENT], True, NotRunError),
        ([SHED] * MAX_DISPATCHES, False, NotRunError),
        ([BROKEN], False, OutcomeUnknownError),
        ([SHED, BROKEN], False, OutcomeUnknownError),
        ([FailureKind.TOO_LATE, FailureKind.REJECTED], True, NotRunError),
    )
    def test_outcome(self, failures: list[FailureKind], may_dispatch: bool, refusal: type) -> None:
        outcome = DispatchOutcome()
        for kind in failures:
            outcome.on_dispatch_failed(kind)
        self.assertEqual(may_dispatch, outcome.may_dispatch)
        self.assertIsInstance(outcome.refusal(), refusal)
