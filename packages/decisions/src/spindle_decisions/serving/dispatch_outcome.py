"""What may be said about a non-idempotent request that gave no answer."""

from spindle_decisions.exceptions import NotRunError, OutcomeUnknownError, RefusalError
from spindle_decisions.serving.failure_kind import NOT_RUN_KINDS, FailureKind

MAX_DISPATCHES = 3


class DispatchOutcome:
    """Collects how the dispatches of one request failed.

    The request certainly ran nowhere only while every upstream that may have
    got a byte of it said "not run". After anything else it must not be sent
    again, and its outcome is unknown.
    """

    def __init__(self) -> None:
        self.failures: list[FailureKind] = []

    @property
    def is_certainly_not_run(self) -> bool:
        """Tell whether the request certainly ran nowhere."""
        return all(kind in NOT_RUN_KINDS for kind in self.failures)

    @property
    def may_dispatch(self) -> bool:
        """Tell whether the request may be sent to another replica."""
        return self.is_certainly_not_run and len(self.failures) < MAX_DISPATCHES

    def on_dispatch_failed(self, kind: FailureKind) -> None:
        """Take in how a dispatch failed."""
        self.failures.append(kind)

    def refusal(self) -> RefusalError:
        """Return the refusal to answer with."""
        causes = ", ".join(kind.value for kind in self.failures) or "no replica was free in time"
        if self.is_certainly_not_run:
            return NotRunError(f"nothing ran: {causes}")
        return OutcomeUnknownError(f"it may have run: {causes}")
