"""What is known about a non-idempotent request that got no answer."""

from spindle_decisions.exceptions import NotRunError, OutcomeUnknownError, RefusalError
from spindle_decisions.serving.failure_kind import NOT_RUN_KINDS, FailureKind

MAX_DISPATCHES = 3


class DispatchOutcome:
    """Collects the failed dispatches of one non-idempotent request.

    It is certain that the request ran nowhere only if every upstream that may
    have received a byte of it answered "not run". After any other failure it
    must not be sent again, and its outcome is unknown.
    """

    def __init__(self) -> None:
        self.failures: list[FailureKind] = []

    @property
    def is_certainly_not_run(self) -> bool:
        """Return whether the request certainly ran nowhere."""
        return all(kind in NOT_RUN_KINDS for kind in self.failures)

    @property
    def may_dispatch(self) -> bool:
        """Return whether the request may be sent to another replica, `MAX_DISPATCHES` at most."""
        return self.is_certainly_not_run and len(self.failures) < MAX_DISPATCHES

    def on_dispatch_failed(self, kind: FailureKind) -> None:
        """Record that a dispatch failed."""
        self.failures.append(kind)

    def refusal(self) -> RefusalError:
        """Return the error to answer the caller with: not run, or outcome unknown."""
        causes = ", ".join(kind.value for kind in self.failures) or "no replica was free in time"
        if self.is_certainly_not_run:
            return NotRunError(f"nothing ran: {causes}")
        return OutcomeUnknownError(f"the request may have run: {causes}")
